package machine

import (
	"bytes"
	"sort"

	"chutelock.dev/chutelock/internal/ledger"
)

// mapStore is an in-memory ledger.Writer.
type mapStore map[string][]byte

var _ ledger.Writer = mapStore{}

func (s mapStore) Get(key []byte) ([]byte, bool, error) {
	value, ok := s[string(key)]
	return value, ok, nil
}

func (s mapStore) Scan(from, to []byte, visit func(key, value []byte) (bool, error)) error {
	for _, key := range s.between(from, to) {
		if more, err := visit([]byte(key), s[key]); err != nil || !more {
			return err
		}
	}
	return nil
}

func (s mapStore) between(from, to []byte) []string {
	var keys []string
	for key := range s {
		if key >= string(from) && key < string(to) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s mapStore) Set(key, value []byte) error {
	s[string(key)] = bytes.Clone(value)
	return nil
}

func (s mapStore) Delete(key []byte) error {
	delete(s, string(key))
	return nil
}

func (s mapStore) DeleteRange(from, to []byte) error {
	for _, key := range s.between(from, to) {
		delete(s, key)
	}
	return nil
}
