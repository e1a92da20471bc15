package objecthttp_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/httpconn/httpconntest"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
)

func objectOf(name string, revision int, spec string) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"resourceVersion":"%d"},"spec":%s}`, name, revision, spec)
}

// Guards against lists and watches that fail as one of their objects can't be decoded.
func TestUndecodableObjectLeavesOthersReadable(t *testing.T) {
	for name, spec := range map[string]string{
		"nested":    strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"too large": `{"x":1e999}`,
		"text":      `"\"]}\\"`,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			objects := []string{objectOf("a", 1, "1"), objectOf("b", 2, spec), objectOf("c", 3, "3")}
			address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
				switch {
				case c.Request.URL.Query().Has("watch"):
					for _, object := range objects {
						fmt.Fprintf(c, `{"type":"MODIFIED","object":%s}`+"\n", object)
					}
				case strings.HasSuffix(c.Request.URL.Path, "/b"):
					_, _ = io.WriteString(c, objects[1])
				default:
					fmt.Fprintf(c, `{"metadata":{"resourceVersion":"3"},"items":[%s]}`, strings.Join(objects, ","))
				}
				return false
			})
			client := objecthttp.New(address, objecthttp.Options{})
			wanted := []platform.Object{
				{Kind: platform.KindEngine, Name: "a", Revision: 1, Spec: json.RawMessage("1")},
				{Kind: platform.KindEngine, Name: "b", Revision: 2, Spec: json.RawMessage(spec)},
				{Kind: platform.KindEngine, Name: "c", Revision: 3, Spec: json.RawMessage("3")},
			}
			listed, revision, err := client.List(t.Context(), platform.KindEngine)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(revision).To(gomega.BeEquivalentTo(3))
			g.Expect(listed).To(gomega.Equal(wanted))
			got, err := client.Get(t.Context(), platform.KindEngine, "b")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(wanted[1]))
			var watched []platform.Object
			err = client.Watch(t.Context(), platform.KindEngine, 0, func(event platform.Event) error {
				watched = append(watched, event.Object)
				return nil
			})
			g.Expect(err).To(gomega.MatchError(objecthttp.ErrWatchEnded))
			g.Expect(watched).To(gomega.Equal(wanted))
		})
	}
}

// Guards against objects of a watch whose bytes change once the next event is read, and against watches that end
// at a blank line.
func TestWatchedObjectsKeepTheirBytes(t *testing.T) {
	const events = 50
	g := gomega.NewWithT(t)
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	specOf := func(revision int) string { return fmt.Sprintf(`{"number":%d,"x":%s}`, revision, nested) }
	address := httpconntest.Serve(t, func(c *httpconntest.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
		for revision := 1; revision <= events; revision++ {
			fmt.Fprintf(c, `{"type":"MODIFIED","object":%s}`+"\n\r\n", objectOf("a", revision, specOf(revision)))
		}
		return false
	})
	var watched []platform.Object
	err := objecthttp.New(address, objecthttp.Options{}).Watch(t.Context(), platform.KindEngine, 0, func(event platform.Event) error {
		watched = append(watched, event.Object)
		return nil
	})
	g.Expect(err).To(gomega.MatchError(objecthttp.ErrWatchEnded))
	g.Expect(watched).To(gomega.HaveLen(events))
	for i, object := range watched {
		g.Expect(string(object.Spec) == specOf(i+1)).To(gomega.BeTrue(), "event %d", i)
	}
}
