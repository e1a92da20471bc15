package batchwork

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
)

// pageBytes bounds the texts of a page, which has at least one result if there are any.
const pageBytes = 256 << 10

// readItem reads an item as submitted.
func readItem(reader ledger.Reader, job string, index uint32) (Item, error) {
	value, found, err := reader.Get(key(keyItem, job, uint64(index)))
	if err != nil || !found {
		return Item{}, errOrNoJob(err)
	}
	item, err := decodeItem(value)
	if err != nil {
		return Item{}, err
	}
	body, found, err := reader.Get(key(keyBody, job, uint64(index)))
	if err != nil || !found {
		return Item{}, errOrNoJob(err)
	}
	item.Body = append([]byte(nil), body...)
	return item, nil
}

func errOrNoJob(err error) error {
	if err != nil {
		return trace.Wrap(err)
	}
	return ErrNoJob
}

// readBody returns the body of the item with an identifier.
func readBody(reader ledger.Reader, job, item string) ([]byte, error) {
	from, to := keyRange(keyItem, job)
	found := false
	var index uint64
	err := reader.Scan(from, to, func(k, value []byte) (bool, error) {
		stored, err := decodeItem(value)
		if err != nil || stored.ID != item {
			return true, err
		}
		_, numbers, err := splitKey(k, 1)
		if err == nil {
			found, index = true, numbers[0]
		}
		return false, err
	})
	if err != nil || !found {
		return nil, errOrNoJob(err)
	}
	read, err := readItem(reader, job, uint32(index))
	return read.Body, err
}

// readPage reads results from a position on. Texts stay compressed; everything else comes
// from memory.
func (m *Machine) readPage(reader ledger.Reader, name jobName, since int) (Page, error) {
	job := name.job
	total := m.size(name)
	if total == 0 {
		return Page{}, ErrNoJob
	}
	page := Page{Total: total, Next: since}
	size := 0
	_, to := keyRange(keyResult, job)
	err := reader.Scan(key(keyResult, job, uint64(since)), to, func(_, value []byte) (bool, error) {
		var fixed fixedIndex
		if _, err := unmarshal(value, &fixed, 0); err != nil {
			return false, err
		}
		result, plain, err := m.readResult(reader, job, fixed.Index)
		if err != nil {
			return false, err
		}
		size += plain
		if len(page.Results) > 0 && size > pageBytes {
			return false, nil
		}
		page.Results = append(page.Results, result)
		return true, nil
	})
	page.Next = since + len(page.Results)
	return page, trace.Wrap(err)
}

// readResult also returns the decompressed size of the text.
func (m *Machine) readResult(reader ledger.Reader, job string, index uint32) (Result, int, error) {
	item, found := m.item(job, index)
	if !found {
		return Result{}, 0, ErrNoJob
	}
	result := Result{ItemID: item.id, State: item.state}
	plain := 0
	from, to := key(keyText, job, uint64(index)), key(keyText, job, uint64(index)+1)
	err := reader.Scan(from, to, func(_, value []byte) (bool, error) {
		result.Compressed = append(result.Compressed, value...)
		plain += plainSize(value)
		return true, nil
	})
	return result, plain, trace.Wrap(err)
}

// decompress sets Text of all results.
func (p *Page) decompress() error {
	for i := range p.Results {
		text, err := decompress(p.Results[i].Compressed)
		if err != nil {
			return err
		}
		p.Results[i].Text, p.Results[i].Compressed = text, nil
	}
	return nil
}
