package batchwork

import (
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/ledger"
)

// pageBytes bounds the texts of a page; one result always fits.
const pageBytes = 900 << 10

// readItem reads an item as it was submitted.
func readItem(reader ledger.Reader, job string, index uint32) (Item, error) {
	value, found, err := reader.Get(key(keyItem, job, uint64(index)))
	if err != nil || !found {
		return Item{}, orNoJob(err)
	}
	item, err := decodeItem(value)
	if err != nil {
		return Item{}, err
	}
	body, found, err := reader.Get(key(keyBody, job, uint64(index)))
	if err != nil || !found {
		return Item{}, orNoJob(err)
	}
	item.Body = append([]byte(nil), body...)
	return item, nil
}

func orNoJob(err error) error {
	if err != nil {
		return trace.Wrap(err)
	}
	return ErrNoJob
}

// readBody finds an item of a job by its identifier.
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
		return nil, orNoJob(err)
	}
	read, err := readItem(reader, job, uint32(index))
	return read.Body, err
}

// readPage reads results from a position on; the machine's memory has the total.
func (m *Machine) readPage(reader ledger.Reader, job string, since int) (Page, error) {
	if _, found, err := reader.Get(key(keyJob, job)); err != nil || !found {
		return Page{}, orNoJob(err)
	}
	page := Page{Total: m.size(job), Next: since}
	size := 0
	_, to := keyRange(keyResult, job)
	err := reader.Scan(key(keyResult, job, uint64(since)), to, func(_, value []byte) (bool, error) {
		var fixed fixedIndex
		if _, err := unmarshal(value, &fixed, 0); err != nil {
			return false, err
		}
		result, err := readResult(reader, job, fixed.Index)
		if err != nil {
			return false, err
		}
		size += len(result.Text)
		if len(page.Results) > 0 && size > pageBytes {
			return false, nil
		}
		page.Results = append(page.Results, result)
		return true, nil
	})
	page.Next = since + len(page.Results)
	return page, trace.Wrap(err)
}

func readResult(reader ledger.Reader, job string, index uint32) (Result, error) {
	value, found, err := reader.Get(key(keyItem, job, uint64(index)))
	if err != nil || !found {
		return Result{}, orNoJob(err)
	}
	item, err := decodeItem(value)
	if err != nil {
		return Result{}, err
	}
	value, found, err = reader.Get(key(keyState, job, uint64(index)))
	if err != nil || !found {
		return Result{}, orNoJob(err)
	}
	var fixed fixedState
	if _, err := unmarshal(value, &fixed, 0); err != nil {
		return Result{}, err
	}
	text, err := readText(reader, job, index)
	return Result{ItemID: item.ID, State: fixed.State, Text: text}, err
}

// readText joins the committed parts of an item's text.
func readText(reader ledger.Reader, job string, index uint32) ([]byte, error) {
	var text []byte
	from, to := key(keyText, job, uint64(index)), key(keyText, job, uint64(index)+1)
	first := true
	err := reader.Scan(from, to, func(_, value []byte) (_ bool, err error) {
		if !first {
			text = append(text, '\n')
		}
		first = false
		text, err = appendDecompressed(text, value)
		return err == nil, err
	})
	return text, trace.Wrap(err)
}
