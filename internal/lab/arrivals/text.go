package arrivals

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// wordLetters are the letters of prompt words; a word and the space behind it
// make up one token of the stand-in engines.
const wordLetters = "abcdefghijklmnopqrstuvwxyz012345"

// Text renders a request's prompt as words, one a token: a prefix that is the
// same for the whole family, then words that only this request of this run
// has. Label keeps runs apart that share an engine's prefix cache.
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
		text = append(text, wordLetters[sum%uint64(len(wordLetters))])
		sum /= uint64(len(wordLetters))
	}
	return append(text, ' ')
}
