package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings/agent"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// fakeNode implements Settings and Writer with canned results.
type fakeNode struct {
	live   *tree.Live
	change command.Change
	err    error
}

func (f *fakeNode) Nodes(path string, recursive bool) ([]*tree.Node, error) {
	return f.live.Nodes(path, recursive)
}
func (f *fakeNode) Tree() *tree.Live { return f.live }
func (f *fakeNode) Status(context.Context) (agent.Status, error) {
	return agent.Status{Version: 5, Known: true}, nil
}
func (f *fakeNode) Zones(context.Context) ([]dissemination.ZoneStatus, error) {
	return nil, errors.New("head unreachable")
}
func (f *fakeNode) Apply(_ context.Context, change command.Change) (*command.Result, error) {
	f.change = change
	return &command.Result{ID: change.ID, Revision: 7}, f.err
}
func (f *fakeNode) RecoverStore(context.Context, string, string) (*command.Recovery, error) {
	return &command.Recovery{Epoch: 2}, f.err
}

func newTestServer(t *testing.T) (*fakeNode, func(method, path, body string) (int, string)) {
	t.Helper()
	g := gomega.NewWithT(t)
	nodes, problems := tree.ParseFile("f.yaml", []byte("path: fleet\nkind: folder\nburst: 3\n---\npath: fleet/a\nkind: tenant\nkeys: [k]\n"))
	g.Expect(problems).To(gomega.BeEmpty())
	live, err := tree.LoadNodes(nodes, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fake := &fakeNode{live: live}
	mux := http.NewServeMux()
	Register(mux, fake, fake)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return fake, func(method, path, body string) (int, string) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode, string(content)
	}
}

// Guards against requests that are decoded, routed or answered wrongly.
func TestHandlersReadAndChangeSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	fake, call := newTestServer(t)
	for _, test := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", PathExplain + "?path=fleet/a", "", 200, `{"field":"burst","value":3,"from":"fleet"}`},
		{"GET", PathExplain + "?path=fleet/b", "", 404, CodeNotFound},
		{"GET", PathNodes + "?recursive=1", "", 200, `"path":"fleet/a"`},
		{"GET", PathNodes + "?path=nowhere", "", 404, CodeNotFound},
		{"GET", PathStatus, "", 200, `"zonesError":"head unreachable"`},
		{"POST", PathRecover, `{"id":"r"}`, 200, `"epoch":2`},
		{"POST", PathApply, `{"id":"c","nodes":[{"path":"fleet","revision":4,"spec":{"kind":"folder"}}]}`, 200, `"revision":7`},
		{"POST", PathApply, `{"id":"c","surprise":1}`, 400, CodeBadRequest},
		{"POST", PathApply, `{"id":"c","nodes":[{"path":"fleet","spec":7}]}`, 400, CodeBadRequest},
	} {
		status, body := call(test.method, test.path, test.body)
		g.Expect(status).To(gomega.Equal(test.status), test.path)
		g.Expect(body).To(gomega.ContainSubstring(test.want), test.path)
	}
	g.Expect(fake.change.Nodes).To(gomega.HaveLen(1))
	g.Expect(fake.change.Nodes[0].Revision).To(gomega.Equal(uint64(4)))
}

// Guards against errors with a wrong code or status, or without the partial
// result.
func TestErrorsMapToCodeAndStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	fake, call := newTestServer(t)
	for code, test := range map[string]struct {
		err    error
		status int
	}{
		CodeInvalid:        {&tree.InvalidError{Problems: []tree.Problem{{Path: "p", Reason: "r"}}}, 422},
		CodeConflict:       {&command.ConflictError{Path: "p"}, 409},
		CodeStoreBehind:    {&command.StoreBehindError{}, 409},
		CodeOutcomeUnknown: {&command.UnknownOutcomeError{ID: "c", Err: io.EOF}, 504},
		CodeNotReady:       {&command.NotReadyError{}, 503},
		CodeStoreFailed:    {io.ErrUnexpectedEOF, 502},
	} {
		fake.err = test.err
		status, body := call("POST", PathApply, `{"id":"c"}`)
		g.Expect(status).To(gomega.Equal(test.status), code)
		var answer ErrorAnswer
		g.Expect(json.Unmarshal([]byte(body), &answer)).To(gomega.Succeed())
		g.Expect(answer.Error.Code).To(gomega.Equal(code))
		g.Expect(answer.Error.Result.Revision).To(gomega.Equal(uint64(7)), "partial result is reported")
	}
}
