package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/settings/operator"
)

// newOperatorServer responds to changes with the given statuses in turn, then
// repeats the last one, and appends the ids of the changes to ids.
func newOperatorServer(t *testing.T, ids *[]string, statuses ...int) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+operator.PathApply, func(writer http.ResponseWriter, request *http.Request) {
		var body operator.ApplyRequest
		if json.NewDecoder(request.Body).Decode(&body) == nil {
			*ids = append(*ids, body.ID)
		}
		status := statuses[min(len(*ids), len(statuses))-1]
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		if status == http.StatusOK {
			_, _ = writer.Write([]byte(`{"id":"x","revision":7,"nodes":[{"path":"fleet","action":"update"}]}`))
			return
		}
		code := map[int]string{409: operator.CodeConflict, 503: operator.CodeNotReady, 504: operator.CodeOutcomeUnknown}[status]
		_ = json.NewEncoder(writer).Encode(operator.ErrorAnswer{Error: operator.ErrorBody{Code: code, Message: "m"}})
	})
	mux.HandleFunc("GET "+operator.PathStatus, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write([]byte(`{"zones":[{"zone":"z","minimum":"0.6","maximum":"0.7","reported":2,"members":2,"known":true}]}`))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against wrong exit codes, and against retries with another id.
func TestApplyExitCodesAndRetries(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		gomega.NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	good, bad := write("good.yaml", "path: fleet\nkind: folder\n"), write("bad.yaml", "path: fleet\nkind: folder\nburts: 1\n")
	for name, test := range map[string]struct {
		arguments []string
		statuses  []int
		want      int
		calls     int
	}{
		"done":                 {[]string{"-f", good}, []int{200}, exitOK, 1},
		"answer lost":          {[]string{"-f", good, "-id", "mine"}, []int{504, 200}, exitOK, 2},
		"never known":          {[]string{"-f", good}, []int{504}, exitFailure, maxChangeAttempts},
		"node not ready":       {[]string{"-f", good}, []int{503}, exitUnavailable, maxChangeAttempts},
		"conflict":             {[]string{"-f", good}, []int{409}, exitRefused, 1},
		"not in force in time": {[]string{"-f", good, "-wait", "-timeout", "1ms"}, []int{200}, exitFailure, 1},
		"bad file":             {[]string{"-f", bad}, []int{200}, exitRefused, 0},
		"no file":              {[]string{"-f", folder + "/none"}, []int{200}, exitUsage, 0},
		"no -f":                {nil, []int{200}, exitUsage, 0},
		"help":                 {[]string{"-h"}, []int{200}, exitOK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var ids []string
			server := newOperatorServer(t, &ids, test.statuses...)
			g.Expect(runApply(append([]string{"-server", server}, test.arguments...))).To(gomega.Equal(test.want))
			g.Expect(ids).To(gomega.HaveLen(test.calls))
			for _, id := range ids {
				g.Expect(id).To(gomega.Equal(ids[0]), "id of a retried change")
			}
		})
	}
}

// Guards against a delete without a path, and against a wrong code if no node responds.
func TestDeleteRequiresPath(t *testing.T) {
	g := gomega.NewWithT(t)
	var ids []string
	server := newOperatorServer(t, &ids, 200)
	g.Expect(runDelete([]string{"-server", server})).To(gomega.Equal(exitUsage))
	g.Expect(runDelete([]string{"-server", server, "-r", "fleet/a"})).To(gomega.Equal(exitOK))
	g.Expect(runExplain([]string{"-server", "http://127.0.0.1:1", "fleet"})).To(gomega.Equal(exitUnavailable))
}
