package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// scripted answers each path with its answers in turn, the last one for ever.
type scripted struct {
	mutex   sync.Mutex
	answers map[string][]answer
	keys    []string // Idempotency-Key of each submission
}

type answer struct {
	status int
	body   string
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := r.Method + " " + r.URL.Path
	if name == "POST /v1/batches" {
		s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	}
	answers := s.answers[name]
	if len(answers) == 0 {
		http.NotFound(w, r)
		return
	}
	if len(answers) > 1 {
		s.answers[name] = answers[1:]
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answers[0].status)
	fmt.Fprint(w, answers[0].body)
}

const (
	unknown  = `{"error":{"code":"outcome_unknown","message":"?"}}`
	conflict = `{"error":{"code":"conflict","message":"other body"}}`
	notRun   = `{"error":{"code":"not_run","message":"later"}}`
	running  = `{"id":"batch_1","status":"in_progress","request_counts":{"total":2,"completed":1}}`
	done     = `{"id":"batch_1","status":"completed","output_file_id":"file-out-1","request_counts":{"total":2,"completed":2}}`
	stopped  = `{"id":"batch_1","status":"cancelled","request_counts":{"total":2,"completed":1}}`
)

func TestExitCodes(t *testing.T) {
	input := filepath.Join(t.TempDir(), "items.jsonl")
	if err := os.WriteFile(input, []byte(`{"custom_id":"a","url":"/v1/completions"}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	stored := []answer{{200, `{"id":"file-1"}`}}
	for name, test := range map[string]struct {
		run         func([]string) int
		arguments   []string
		answers     map[string][]answer
		code        int
		submissions int
	}{
		"submit":              {runSubmit, []string{"-wait", input}, map[string][]answer{"POST /v1/files": stored, "POST /v1/batches": {{200, running}}, "GET /v1/batches/batch_1": {{200, running}, {503, notRun}, {200, done}}}, exitOK, 1},
		"lost answer":         {runSubmit, []string{input}, map[string][]answer{"POST /v1/files": stored, "POST /v1/batches": {{503, unknown}, {200, running}}}, exitOK, 2},
		"other body":          {runSubmit, []string{"-idempotency-key", "k", input}, map[string][]answer{"POST /v1/files": stored, "POST /v1/batches": {{409, conflict}}}, exitRefused, 1},
		"bad file":            {runSubmit, []string{input}, map[string][]answer{"POST /v1/files": {{400, `{"error":{"code":"invalid_json_line","message":"line 1"}}`}}}, exitRefused, 0},
		"incomplete":          {runSubmit, []string{"-wait", input}, map[string][]answer{"POST /v1/files": stored, "POST /v1/batches": {{200, running}}, "GET /v1/batches/batch_1": {{200, stopped}}}, exitIncomplete, 1},
		"submit nothing":      {runSubmit, nil, nil, exitUsage, 0},
		"list":                {runJobs, []string{"-o", "json"}, map[string][]answer{"GET /v1/batches": {{200, `{"data":[` + done + `]}`}}}, exitOK, 0},
		"unknown format":      {runJobs, []string{"-o", "xml"}, nil, exitUsage, 0},
		"cancel":              {runCancel, []string{"batch_1"}, map[string][]answer{"POST /v1/batches/batch_1/cancel": {{200, stopped}}}, exitOK, 0},
		"cancel another's":    {runCancel, []string{"batch_2"}, nil, exitRefused, 0},
		"results":             {runResults, []string{"-f", filepath.Join(filepath.Dir(input), "out"), "batch_1"}, map[string][]answer{"GET /v1/batches/batch_1": {{200, done}}, "GET /v1/files/file-out-1/content": {{200, "{}\n"}}}, exitOK, 0},
		"results unavailable": {runResults, []string{"batch_1"}, map[string][]answer{"GET /v1/batches/batch_1": {{503, notRun}}}, exitUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			script := &scripted{answers: test.answers}
			server := httptest.NewServer(script)
			defer server.Close()
			g.Expect(test.run(append([]string{"-server", server.URL}, test.arguments...))).To(gomega.Equal(test.code))
			g.Expect(script.keys).To(gomega.HaveLen(test.submissions))
			for _, key := range script.keys {
				g.Expect(key).To(gomega.And(gomega.Not(gomega.BeEmpty()), gomega.Equal(script.keys[0])))
			}
		})
	}
}
