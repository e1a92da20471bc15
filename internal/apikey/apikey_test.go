package apikey

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func TestOnlyOneWellFormedKeyIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, one := range []struct {
		values []string
		wanted Presence
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
		hash, presence := Read(http.Header{headerName: one.values})
		g.Expect(presence).To(gomega.Equal(one.wanted), "%.40q", one.values)
		if one.wanted == Given {
			g.Expect(hash).To(gomega.Equal(Of("k1")), "%q", one.values)
		} else {
			g.Expect(hash).To(gomega.Equal(Hash{}))
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add("Bearer k1")
	f.Add("bearer \t")
	f.Fuzz(func(t *testing.T, value string) {
		hash, presence := Read(http.Header{headerName: {value}})
		if (presence == Given) != (hash != Hash{}) || presence == Absent {
			t.Fatalf("%q: presence %d, hash %x", value, presence, hash)
		}
	})
}
