//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	jobs        = 200
	jobItems    = 20
	itemEvents  = 8
	brokenShare = 0.03 // of an engine's answers
	submitPause = 100 * time.Millisecond
)

// itemData is the data of an item's event. The last event ends the text and has no data of its own:
// the token that ends a generation has no characters.
func itemData(id string, event int) string {
	if event == itemEvents {
		return ""
	}
	return fmt.Sprintf("%s-%d", id, event)
}

// wholeText is an item's whole output: the data of all events in order, parted by line feeds.
func wholeText(id string) string {
	var data []string
	for event := 1; event <= itemEvents; event++ {
		data = append(data, itemData(id, event))
	}
	return strings.Join(data, "\n")
}

type listedResult struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Message string `json:"message"`
}

// playTexts submits batch jobs while half of the engines break off 3 in 100 of their answers, after
// an event drawn at random, and reads all results.
func playTexts(d *deployment, trouble bool) bool {
	for i, e := range d.engines {
		// An undisturbed answer takes less than 40 ms, so that its text is committed as a whole.
		e.events, e.firstEvent, e.eventPause, e.data = itemEvents, 10*time.Millisecond, 3*time.Millisecond, itemData
		if trouble && i%2 == 0 {
			e.breakAfter = func(*engine, string, int) int {
				if rand.Float64() < brokenShare {
					return 1 + rand.IntN(itemEvents-1)
				}
				return 0
			}
		}
	}
	start := time.Now()
	var ids []string
	for range jobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		submit(d, id)
		record("%7.3f job %s accepted", time.Since(start).Seconds(), id)
		time.Sleep(submitPause)
	}
	wrong, read := 0, 0
	end := time.Now().Add(60 * time.Second)
	for n, id := range ids {
		results := readAll(d.fronts()[n%zoneCount].callers, id, end)
		for _, result := range results {
			read++
			expected := wholeText(result.ID)
			if result.State == "succeeded" && result.Message != expected {
				wrong++
				record("MIXED: job %s item %s succeeded with %q, but its whole output is %q", id, result.ID, result.Message, expected)
			}
		}
		record("%7.3f job %s: %d results read", time.Since(start).Seconds(), id, len(results))
	}
	broken := 0
	for _, e := range d.engines {
		for _, run := range e.runs() {
			if !run.complete {
				broken++
			}
		}
	}
	d.recordRuns(start)
	summary := fmt.Sprintf("%d results of %d items read; %d runs ended early; %d results succeeded with another text than the item's whole output", read, jobs*jobItems, broken, wrong)
	record("%s", summary)
	fmt.Println(summary)
	if read < jobs*jobItems/2 {
		d.close()
		couldNotRun("only %d results were read", read)
	}
	return wrong == 0
}

func submit(d *deployment, id string) {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var items []item
	for range jobItems {
		own := fmt.Sprintf("%016x", rand.Uint64())
		items = append(items, item{
			ID: own, Path: "/pule252/3/91c4", Tokens: 940, Body: base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("b"), 400)),
			Headers: map[string]string{"Model": "m", "Token-Usage": "540,400", "Prompt-Prefix": "9c2e41:300," + own[:8] + ":240"},
		})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	for try := range 20 {
		front := d.fronts()[try%zoneCount]
		status, _ := call(http.MethodPost, front.callers, "/pule252/"+id[:6], id, body)
		record("job %s sent to %s: status %d", id, front.name, status)
		if status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	d.close()
	couldNotRun("job %s was not accepted", id)
}

// readAll reads a job's results until there are all or time is over.
func readAll(front, id string, end time.Time) (results []listedResult) {
	for len(results) < jobItems && time.Now().Before(end) {
		status, body := call(http.MethodGet, front, fmt.Sprintf("/-/lots/%s?sinceRevision=%d", id, len(results)), "", nil)
		var page struct {
			Results []listedResult `json:"results"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil || len(page.Results) == 0 {
			record("read of %s at %s: status %d, no new results", id, front, status)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		results = append(results, page.Results...)
	}
	return results
}

// call makes one call on a new connection.
func call(method, front, path, id string, body []byte) (status int, answer []byte) {
	message, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	message.Host = host
	if id != "" {
		message.Header.Set("Request-Id", id)
		message.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(message)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
