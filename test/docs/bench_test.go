package docs

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const (
	benchPage     = "../../docs/BENCH.md"
	journalFolder = "../../journal"
	// Lines around the generated table of the page.
	tableBegin = "<!-- table of deployments: made by make bench-table -->"
	tableEnd   = "<!-- end of the table -->"
)

// journalEntry holds the fields of a journal file that the table uses.
type journalEntry struct {
	ID      string   `json:"id"`
	At      []string `json:"at"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	OK      bool     `json:"ok"`
	Figures struct {
		Gate float64 `json:"gate"`
	} `json:"figures"`
	Days []dayResult `json:"days"`
}

// dayResult is the result of one scenario of a run.
type dayResult struct {
	Name  string         `json:"name"`
	Score float64        `json:"G"`
	Slot  string         `json:"slot"`
	Rules map[string]any `json:"rules"`
}

// siteRow holds a deployment's newest runs of the commands score and hunt.
type siteRow struct{ score, hunt *journalEntry }

// readJournal returns the newest successful runs by deployment.
func readJournal(t *testing.T) map[string]*siteRow {
	g := gomega.NewWithT(t)
	paths, err := filepath.Glob(filepath.Join(journalFolder, "*.json"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sort.Strings(paths) // file names begin with the time
	rows := map[string]*siteRow{}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		g.Expect(err).NotTo(gomega.HaveOccurred(), path)
		var run journalEntry
		g.Expect(json.Unmarshal(content, &run)).To(gomega.Succeed(), path)
		if run.Site == "" || len(run.Days) == 0 || !run.OK {
			continue
		}
		if rows[run.Site] == nil {
			rows[run.Site] = &siteRow{}
		}
		switch run.Command {
		case "score":
			rows[run.Site].score = &run
		case "hunt":
			rows[run.Site].hunt = &run
		}
	}
	return rows
}

// freshPrefix begins the names of days generated for a single run, which count for the
// gate only.
const freshPrefix = "fresh"

// benchTable formats the table with a row for each deployment that has a score.
func benchTable(rows map[string]*siteRow) string {
	var sites []string
	for site, row := range rows {
		if row.score != nil {
			sites = append(sites, site)
		}
	}
	sort.Strings(sites)
	var b strings.Builder
	b.WriteString("| deployment | gate | quiet | days with trouble | mean | score of | hunted days, rules broken |\n|---|---|---|---|---|---|---|\n")
	for _, site := range sites {
		score := rows[site].score
		var quiet, trouble []string
		sum := 0.0
		for _, d := range score.Days {
			if strings.HasPrefix(d.Name, freshPrefix) {
				continue
			}
			value := fmt.Sprintf("%.3f", d.Score)
			if d.Slot == "quiet" {
				quiet = append(quiet, value)
				continue
			}
			trouble = append(trouble, value)
			sum += d.Score
		}
		gate := "passed"
		if score.Figures.Gate < 1 {
			gate = "failed"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.3f | %s (%s) | %s |\n", site, gate, strings.Join(quiet, " "),
			strings.Join(trouble, " "), sum/float64(max(1, len(trouble))), score.At[0][:10], score.ID, rows[site].hunt.summary())
	}
	return b.String()
}

// summary formats the number of days, how many broke rules, and the run's id.
func (e *journalEntry) summary() string {
	if e == nil {
		return "none"
	}
	broken := 0
	for _, d := range e.Days {
		if len(d.Rules) > 0 {
			broken++
		}
	}
	return fmt.Sprintf("%d, %d (%s)", len(e.Days), broken, e.ID)
}

// Guards against a stale table in docs/BENCH.md. With UPDATE_BENCH set, as by "make
// bench-table", it writes the table.
func TestBenchTableMatchesJournal(t *testing.T) {
	g := gomega.NewWithT(t)
	content, err := os.ReadFile(benchPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, rest, found := strings.Cut(string(content), tableBegin+"\n")
	g.Expect(found).To(gomega.BeTrue())
	_, after, found := strings.Cut(rest, tableEnd+"\n")
	g.Expect(found).To(gomega.BeTrue())
	want := before + tableBegin + "\n" + benchTable(readJournal(t)) + tableEnd + "\n" + after
	if os.Getenv("UPDATE_BENCH") != "" {
		g.Expect(os.WriteFile(benchPage, []byte(want), 0o644)).To(gomega.Succeed())
		return
	}
	g.Expect(string(content)).To(gomega.Equal(want), "run make bench-table")
}
