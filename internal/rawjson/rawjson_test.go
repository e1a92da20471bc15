package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestElementsOfAnyDepth(t *testing.T) {
	g := gomega.NewWithT(t)
	deep := strings.Repeat(`[{"a":`, 100_000) + `1e999` + strings.Repeat(`}]`, 100_000)
	elements, err := Elements([]byte(` [ {"a":"]}\"" } ,` + deep + `, 12 ,null,"\\", [] ] `))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(elements).To(gomega.Equal([]json.RawMessage{
		json.RawMessage(`{"a":"]}\"" }`), json.RawMessage(deep), json.RawMessage(`12`), json.RawMessage(`null`), json.RawMessage(`"\\"`), json.RawMessage(`[]`),
	}))
}

func TestMembersByName(t *testing.T) {
	g := gomega.NewWithT(t)
	members, err := Members([]byte(`{"a" : [1,{"b":2}], "\u0062":"x","c":{}}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(members).To(gomega.Equal(map[string]json.RawMessage{
		"a": json.RawMessage(`[1,{"b":2}]`), "b": json.RawMessage(`"x"`), "c": json.RawMessage(`{}`),
	}))
	for _, empty := range []string{`{}`, ` { } `} {
		members, err = Members([]byte(empty))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(members).To(gomega.BeEmpty())
	}
}

func TestSplitRejectsBrokenTexts(t *testing.T) {
	for _, text := range []string{``, `[`, `[1`, `[1,`, `[1,]`, `[,1]`, `[1 2]`, `[1}`, `[{]}`, `[{"a":1]}`, `["a]`, `["\"]`, `[1]x`, `[1]]`, `{"a":1}`, `1`, "[1\x00]"} {
		elements, err := Elements([]byte(text))
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(ErrInvalid), "%q gives %q", text, elements)
	}
	for _, text := range []string{``, `{`, `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":1,}`, `{a:1}`, `{"a" 1}`, `{"a":}`, `{1:1}`, `{"a":1}}`, `{"a":1]`, `[1]`} {
		members, err := Members([]byte(text))
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(ErrInvalid), "%q gives %q", text, members)
	}
}

// Valid texts are split as encoding/json splits them.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[]`, `[1,"a",{"b":[null]}]`, `{"a":[1],"b":{}}`, `{"a":1,"a":2}`, `["\\",-1e5]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		g := gomega.NewWithT(t)
		elements, elementsErr := Elements(text)
		members, membersErr := Members(text)
		var wantedElements []json.RawMessage
		var wantedMembers map[string]json.RawMessage
		if json.Valid(text) && text != nil {
			switch {
			case json.Unmarshal(text, &wantedElements) == nil && wantedElements != nil:
				g.Expect(elementsErr).NotTo(gomega.HaveOccurred())
				g.Expect(elements).To(gomega.HaveLen(len(wantedElements)))
				for i := range elements {
					g.Expect(elements[i]).To(gomega.MatchJSON(wantedElements[i]))
				}
			case json.Unmarshal(text, &wantedMembers) == nil && wantedMembers != nil:
				g.Expect(membersErr).NotTo(gomega.HaveOccurred())
				g.Expect(members).To(gomega.HaveLen(len(wantedMembers)))
			}
		}
	})
}
