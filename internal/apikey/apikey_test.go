package apikey

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against ambiguous or malformed credentials that are taken for a key.
func TestReadAcceptsOnlyOneWellFormedKey(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, tc := range []struct {
		values []string
		want   Presence
	}{
		{nil, Absent},
		{[]string{"Bearer k1"}, Given},
		{[]string{"bearer  k1 "}, Given},
		{[]string{"Bearer k1", "Bearer k1"}, Malformed},
		{[]string{"Bearer k1, Bearer k2"}, Malformed},
		{[]string{"Basic azE="}, Malformed},
		{[]string{"Bearer"}, Malformed},
		{[]string{"Bearer "}, Malformed},
		{[]string{"Bearer    "}, Malformed},
		{[]string{""}, Malformed},
		{[]string{"k1"}, Malformed},
		{[]string{"Bearer k\x001"}, Malformed},
		{[]string{"Bearer k\t1"}, Malformed},
		{[]string{"Bearer k\x7f"}, Malformed},
		{[]string{"Bearer schlüssel"}, Malformed},
		{[]string{"Bearer " + strings.Repeat("k", 64<<10)}, Malformed},
	} {
		hash, presence := Read(http.Header{headerName: tc.values})
		g.Expect(presence).To(gomega.Equal(tc.want), "%.40q", tc.values)
		if tc.want == Given {
			g.Expect(hash).To(gomega.Equal(HashKey("k1")), "%q", tc.values)
		} else {
			g.Expect(hash).To(gomega.Equal(Hash{}))
		}
	}
}

// Guards against a hash without a key and a key without a hash.
func FuzzRead(f *testing.F) {
	f.Add("Bearer k1")
	f.Add("bearer \t")
	f.Fuzz(func(t *testing.T, value string) {
		hash, presence := Read(http.Header{headerName: {value}})
		if (presence == Given) != (hash != Hash{}) || presence == Absent {
			t.Fatalf("Read(%q): presence %d, hash %x", value, presence, hash)
		}
	})
}
