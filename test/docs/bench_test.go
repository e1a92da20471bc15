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
	benchPage = "../../docs/BENCH.md"
	journal   = "../../journal"
	// The table of the page lies between these lines.
	tableBegin = "<!-- table of deployments: made by make bench-table -->"
	tableEnd   = "<!-- end of the table -->"
)

// entry is what the table takes of a run's entry in the journal.
type entry struct {
	ID      string   `json:"id"`
	At      []string `json:"at"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	OK      bool     `json:"ok"`
	Figures struct {
		Gate float64 `json:"gate"`
	} `json:"figures"`
	Days []day `json:"days"`
}

type day struct {
	Name  string         `json:"name"`
	Worth float64        `json:"G"`
	Slot  string         `json:"slot"`
	Rules map[string]any `json:"rules"`
}

// row is a deployment with its newest score and its newest hunt.
type row struct{ score, hunt *entry }

func readJournal(t *testing.T) map[string]*row {
	g := gomega.NewWithT(t)
	paths, err := filepath.Glob(filepath.Join(journal, "*.json"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sort.Strings(paths) // by time
	rows := map[string]*row{}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		g.Expect(err).NotTo(gomega.HaveOccurred(), path)
		var read entry
		g.Expect(json.Unmarshal(content, &read)).To(gomega.Succeed(), path)
		if read.Site == "" || len(read.Days) == 0 || !read.OK {
			continue
		}
		if rows[read.Site] == nil {
			rows[read.Site] = &row{}
		}
		switch read.Command {
		case "score":
			rows[read.Site].score = &read
		case "hunt":
			rows[read.Site].hunt = &read
		}
	}
	return rows
}

// drawnPrefix begins the name of a day that was drawn for one score; it counts for the
// gate only.
const drawnPrefix = "fresh"

// benchTable writes a line a deployment.
func benchTable(rows map[string]*row) string {
	var sites []string
	for site, one := range rows {
		if one.score != nil {
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
		for _, one := range score.Days {
			if strings.HasPrefix(one.Name, drawnPrefix) {
				continue
			}
			worth := fmt.Sprintf("%.3f", one.Worth)
			if one.Slot == "quiet" {
				quiet = append(quiet, worth)
				continue
			}
			trouble = append(trouble, worth)
			sum += one.Worth
		}
		gate := "passed"
		if score.Figures.Gate < 1 {
			gate = "failed"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.3f | %s (%s) | %s |\n", site, gate, strings.Join(quiet, " "),
			strings.Join(trouble, " "), sum/float64(max(1, len(trouble))), score.At[0][:10], score.ID, rows[site].hunt.describe())
	}
	return b.String()
}

func (e *entry) describe() string {
	if e == nil {
		return "none"
	}
	broken := 0
	for _, one := range e.Days {
		if len(one.Rules) > 0 {
			broken++
		}
	}
	return fmt.Sprintf("%d, %d (%s)", len(e.Days), broken, e.ID)
}

// TestTheTableOfDeploymentsIsTheJournals compares the page with the journal; with
// UPDATE_BENCH set, as by "make bench-table", it writes the table.
func TestTheTableOfDeploymentsIsTheJournals(t *testing.T) {
	g := gomega.NewWithT(t)
	content, err := os.ReadFile(benchPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, rest, found := strings.Cut(string(content), tableBegin+"\n")
	g.Expect(found).To(gomega.BeTrue())
	_, after, found := strings.Cut(rest, tableEnd+"\n")
	g.Expect(found).To(gomega.BeTrue())
	wanted := before + tableBegin + "\n" + benchTable(readJournal(t)) + tableEnd + "\n" + after
	if os.Getenv("UPDATE_BENCH") != "" {
		g.Expect(os.WriteFile(benchPage, []byte(wanted), 0o644)).To(gomega.Succeed())
		return
	}
	g.Expect(string(content)).To(gomega.Equal(wanted), "run make bench-table")
}
