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

// scriptedServer sends each route's responses in turn, then repeats the last one.
type scriptedServer struct {
	mutex     sync.Mutex
	responses map[string][]scriptedResponse
	keys      []string // Idempotency-Key of each batch submission
}

type scriptedResponse struct {
	status int
	body   string
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := r.Method + " " + r.URL.Path
	if name == "POST /v1/batches" {
		s.keys = append(s.keys, r.Header.Get("Idempotency-Key"))
	}
	responses := s.responses[name]
	if len(responses) == 0 {
		http.NotFound(w, r)
		return
	}
	if len(responses) > 1 {
		s.responses[name] = responses[1:]
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(responses[0].status)
	fmt.Fprint(w, responses[0].body)
}

const (
	unknownBody    = `{"error":{"code":"outcome_unknown","message":"?"}}`
	conflictBody   = `{"error":{"code":"conflict","message":"other body"}}`
	notRunBody     = `{"error":{"code":"not_run","message":"later"}}`
	inProgressBody = `{"id":"batch_1","status":"in_progress","request_counts":{"total":2,"completed":1}}`
	completedBody  = `{"id":"batch_1","status":"completed","output_file_id":"file-out-1","request_counts":{"total":2,"completed":2}}`
	cancelledBody  = `{"id":"batch_1","status":"cancelled","request_counts":{"total":2,"completed":1}}`
)

// Guards against wrong exit codes, and against retries with another idempotency key.
func TestBatchExitCodes(t *testing.T) {
	input := filepath.Join(t.TempDir(), "items.jsonl")
	if err := os.WriteFile(input, []byte(`{"custom_id":"a","url":"/v1/completions"}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	stored := []scriptedResponse{{200, `{"id":"file-1"}`}}
	for name, test := range map[string]struct {
		run         func([]string) int
		arguments   []string
		responses   map[string][]scriptedResponse
		code        int
		submissions int
	}{
		"submit":              {runSubmit, []string{"-wait", input}, map[string][]scriptedResponse{"POST /v1/files": stored, "POST /v1/batches": {{200, inProgressBody}}, "GET /v1/batches/batch_1": {{200, inProgressBody}, {503, notRunBody}, {200, completedBody}}}, exitOK, 1},
		"lost answer":         {runSubmit, []string{input}, map[string][]scriptedResponse{"POST /v1/files": stored, "POST /v1/batches": {{503, unknownBody}, {200, inProgressBody}}}, exitOK, 2},
		"other body":          {runSubmit, []string{"-idempotency-key", "k", input}, map[string][]scriptedResponse{"POST /v1/files": stored, "POST /v1/batches": {{409, conflictBody}}}, exitRefused, 1},
		"bad file":            {runSubmit, []string{input}, map[string][]scriptedResponse{"POST /v1/files": {{400, `{"error":{"code":"invalid_json_line","message":"line 1"}}`}}}, exitRefused, 0},
		"incomplete":          {runSubmit, []string{"-wait", input}, map[string][]scriptedResponse{"POST /v1/files": stored, "POST /v1/batches": {{200, inProgressBody}}, "GET /v1/batches/batch_1": {{200, cancelledBody}}}, exitIncomplete, 1},
		"submit nothing":      {runSubmit, nil, nil, exitUsage, 0},
		"list":                {runJobs, []string{"-o", "json"}, map[string][]scriptedResponse{"GET /v1/batches": {{200, `{"data":[` + completedBody + `]}`}}}, exitOK, 0},
		"unknown format":      {runJobs, []string{"-o", "xml"}, nil, exitUsage, 0},
		"cancel":              {runCancel, []string{"batch_1"}, map[string][]scriptedResponse{"POST /v1/batches/batch_1/cancel": {{200, cancelledBody}}}, exitOK, 0},
		"cancel another's":    {runCancel, []string{"batch_2"}, nil, exitRefused, 0},
		"results":             {runResults, []string{"-f", filepath.Join(filepath.Dir(input), "out"), "batch_1"}, map[string][]scriptedResponse{"GET /v1/batches/batch_1": {{200, completedBody}}, "GET /v1/files/file-out-1/content": {{200, "{}\n"}}}, exitOK, 0},
		"results unavailable": {runResults, []string{"batch_1"}, map[string][]scriptedResponse{"GET /v1/batches/batch_1": {{503, notRunBody}}}, exitUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			script := &scriptedServer{responses: test.responses}
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
