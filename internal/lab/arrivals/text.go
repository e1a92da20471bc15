package arrivals

import (
	"strconv"
	"strings"
)

// Text renders a request's prompt as words, one a token: a prefix that is the
// same for the whole family, then words that only this request of this run
// has. Label keeps runs apart that share an engine's prefix cache.
func (r Request) Text(label string) string {
	var text strings.Builder
	family := "f" + strconv.Itoa(r.Family)
	for i := range r.SharedTokens {
		writeWord(&text, family, i)
	}
	own := label + "n" + strconv.Itoa(r.Number)
	for i := range r.OwnTokens {
		writeWord(&text, own, i)
	}
	return text.String()
}

func writeWord(text *strings.Builder, group string, position int) {
	if text.Len() > 0 {
		text.WriteByte(' ')
	}
	text.WriteString(group)
	text.WriteByte('w')
	text.WriteString(strconv.Itoa(position))
}
