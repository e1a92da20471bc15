//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	itemsPerJob = 4
	// finalReads is how long jobs are read after the last submission before one counts as lost: the sites' finishS.
	finalReads = 18 * time.Second
)

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// call sends a call on a new connection and returns the status, 0 if there is no answer.
func (d *deployment) call(n *node, method, path, id string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	if id != "" {
		request.Header.Set("Request-Id", id)
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit submits a job, once more at another node if it isn't accepted.
func (d *deployment) submit() { d.submitItems(itemsPerJob, 400) }

// submitItems is submit for a job of so many items with so many tokens out each.
func (d *deployment) submitItems(count, tokens int) {
	d.next++
	id := fmt.Sprintf("job%05x", d.next)
	var items []item
	for i := range count {
		items = append(items, item{
			ID: fmt.Sprintf("%s.%d", id, i), Path: "/match/" + id, Tokens: int64(500 + tokens), Body: "c2VhdHM=",
			Headers: map[string]string{"Model": "m", "Token-Usage": fmt.Sprint("500,", tokens), "Prompt-Prefix": "9c2e41:300,5d07b8:200"},
		})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	for attempt := range 2 {
		n := d.fronts[(d.next+attempt)%len(d.fronts)]
		status, _ := d.call(n, http.MethodPost, "/match/"+id, id, body)
		d.record.printf("job %s (%d items) at %s: %d", id, count, n.name, status)
		if status == http.StatusAccepted {
			d.jobs = append(d.jobs, id)
			return
		}
	}
}

// readAll reads all accepted jobs at the same time, each at one front node after another, for finalReads
// at most, and returns those that none gave.
func (d *deployment) readAll() (lost []string) {
	var reads sync.WaitGroup
	var mutex sync.Mutex // guards lost
	end := time.Now().Add(finalReads)
	for i, id := range d.jobs {
		reads.Go(func() {
			if !d.readJob(id, i, end) {
				mutex.Lock()
				defer mutex.Unlock()
				lost = append(lost, id)
			}
		})
	}
	reads.Wait()
	slices.Sort(lost)
	return lost
}

// readJob reads a job until a front node gives it, and reports whether one did.
func (d *deployment) readJob(id string, first int, end time.Time) bool {
	var answers []int
	for try := first; len(answers) < len(d.fronts) || time.Now().Before(end); try++ {
		n := d.fronts[try%len(d.fronts)]
		status, answer := d.call(n, http.MethodGet, "/-/lots/"+id+"?sinceRevision=0", "", nil)
		answers = append(answers, status)
		var page struct {
			Total   int               `json:"total"`
			Results []json.RawMessage `json:"results"`
		}
		if status == http.StatusOK && json.Unmarshal(answer, &page) == nil && page.Total == itemsPerJob {
			d.record.printf("job %s at %s: %d, %d of %d results", id, n.name, status, len(page.Results), page.Total)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record.printf("job %s can't be read at any front node for %s: answers %v", id, finalReads, answers)
	return false
}
