package arrivals

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// wordAlphabet is the alphabet of prompt words. A word and its trailing space
// are one token of the stand-in engines.
const wordAlphabet = "abcdefghijklmnopqrstuvwxyz012345"

// Text returns the request's prompt, one word per token: the prefix shared by the
// family, then words unique to the request and label. Runs with different labels
// share only prefixes in an engine's prefix cache.
func (r Request) Text(label string) string {
	text := make([]byte, 0, r.PromptTokens()*truth.TokenBytes)
	text = appendWords(text, "family", uint64(r.Family), r.SharedTokens)
	text = appendWords(text, label, uint64(r.Number), r.OwnTokens)
	return string(text)
}

func appendWords(text []byte, label string, number uint64, count int) []byte {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], xxhash.Sum64String(label)^number)
	for position := range count {
		binary.BigEndian.PutUint64(input[8:], uint64(position))
		text = appendWord(text, xxhash.Sum64(input[:]))
	}
	return text
}

func appendWord(text []byte, sum uint64) []byte {
	for range truth.TokenBytes - 1 {
		text = append(text, wordAlphabet[sum%uint64(len(wordAlphabet))])
		sum /= uint64(len(wordAlphabet))
	}
	return append(text, ' ')
}
