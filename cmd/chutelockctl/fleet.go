package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/fleet/query"
	"chutelock.dev/chutelock/internal/ledger/replica"
	settings "chutelock.dev/chutelock/internal/settings/operator"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "fleet", Summary: "show nodes, engines, their homes and what leaves, as one node sees them", Run: runFleet})
}

const fleetUsage = `usage: chutelockctl fleet [flags] [nodes|engines|zones|shards|settings]

Shows the fleet as the node behind -server, an operator port, sees it:
  nodes    state, elected roles, and the number of engines each is home of
  engines  home, load, and for a leaving engine the sources that say so
  zones    each zone's capacity for each model, and how old that news is
  shards   the ledger's shards: leader, term, and each replica with its state
  settings the version in force in each zone

Without a word it shows nodes, engines and shards; -o json shows all.

  chutelockctl fleet -server http://127.0.0.1:9080 engines`

// Arguments of fleet, each of which names a table.
const (
	partNodes    = "nodes"
	partEngines  = "engines"
	partZones    = "zones"
	partShards   = "shards"
	partSettings = "settings"
)

// fleetView is the fleet's state as reported by one node.
type fleetView struct {
	query.Fleet
	Ledger   replica.Status        `json:"ledger"`
	Settings settings.StatusAnswer `json:"settings"`
}

// readFleet requests the state from the node; the code is exitOK on success.
func readFleet(client *resty.Client) (*fleetView, int) {
	var view fleetView
	for path, into := range map[string]any{
		query.PathFleet:     &view.Fleet,
		replica.PathLedger:  &view.Ledger,
		settings.PathStatus: &view.Settings,
	} {
		response, err := client.R().SetResult(into).Get(path)
		if code := responseExitCode("fleet", response, err); code != exitOK {
			return nil, code
		}
	}
	return &view, exitOK
}

func runFleet(arguments []string) int {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	var conn connection
	conn.register(flags)
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), fleetUsage)
		flags.PrintDefaults()
	}
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	parts := flags.Args()
	if len(parts) == 0 {
		parts = []string{partNodes, partEngines, partShards}
	}
	fleet, code := readFleet(conn.client())
	if code != exitOK {
		return code
	}
	if conn.output == outputJSON {
		parts = parts[:1]
	}
	for _, part := range parts {
		header, rows := fleetTable(fleet, part, time.Now())
		if header == "" {
			fmt.Fprintf(os.Stderr, "fleet: no part %q; want nodes, engines, zones, shards or settings\n", part)
			return exitUsage
		}
		if err := conn.print(os.Stdout, fleet, header, rows); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
	}
	return exitOK
}

// fleetTable returns the header and rows of a part; the header is empty if the
// part is unknown.
func fleetTable(fleet *fleetView, part string, now time.Time) (header string, rows []string) {
	switch part {
	case partNodes:
		return "NODE\tZONE\tREGION\tSTATE\tDATA\tENGINES\tROLES", memberRows(fleet)
	case partEngines:
		return "ENGINE\tZONE\tHOME\tLEAVING\tRUNNING\tWAITING\tBATCH\tKV\tAGE\tMODELS", engineRows(fleet, now)
	case partZones:
		return "ZONE\tMODEL\tENGINES\tRUNNING\tWAITING\tAGE", zoneRows(fleet, now)
	case partShards:
		return "SHARD\tLEADER\tTERM\tHERE\tCOMMIT\tQUORUM\tREPLICAS", shardRows(fleet)
	case partSettings:
		return "ZONE\tIN FORCE\tNODES", versionRows(fleet)
	}
	return "", nil
}

func memberRows(fleet *fleetView) []string {
	var rows []string
	for _, node := range fleet.Nodes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%d\t%s", node.Name, node.Zone, node.Region,
			node.State, node.HasData, node.Engines, strings.Join(node.Roles, ", ")))
	}
	return rows
}

func engineRows(fleet *fleetView, now time.Time) []string {
	var rows []string
	for _, engine := range fleet.Engines {
		leaving := "no"
		if engine.Leaving {
			leaving = strings.Join(engine.Sources, ", ")
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f%%\t%s\t%s", engine.Name, engine.Zone,
			engine.Home, leaving, engine.Running, engine.Waiting, engine.RunningBatch, engine.KVUse*100,
			age(now, engine.Measured), strings.Join(engine.Models, ", ")))
	}
	return rows
}

func zoneRows(fleet *fleetView, now time.Time) []string {
	var rows []string
	for _, zone := range fleet.Zones {
		for _, model := range zone.Models {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s", zone.Zone, model.Model,
				model.Engines, model.Running, model.Waiting, age(now, zone.Heard)))
		}
	}
	return rows
}

func shardRows(fleet *fleetView) []string {
	var rows []string
	for _, shard := range fleet.Ledger.Shards {
		quorum := "yes"
		if shard.NoQuorum {
			quorum = "NO"
		}
		var replicas []string
		for _, each := range shard.Replicas {
			replicas = append(replicas, fmt.Sprintf("%s (%s, %s)", each.Node, each.Zone, each.State))
		}
		rows = append(rows, fmt.Sprintf("%d\t%s\t%d\t%s\t%d\t%s\t%s", shard.Shard, shard.Leader, shard.Term,
			shard.Local, shard.Commit, quorum, strings.Join(replicas, ", ")))
	}
	return rows
}

func versionRows(fleet *fleetView) []string {
	var rows []string
	for _, zone := range fleet.Settings.Zones {
		if !zone.Known {
			rows = append(rows, zone.Zone+"\tnot known\t")
			continue
		}
		inForce := zone.Minimum.String()
		if zone.Minimum != zone.Maximum {
			inForce += " to " + zone.Maximum.String()
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d of %d", zone.Zone, inForce, zone.Reported, zone.Members))
	}
	return rows
}

// age formats a report's age, or "never" if there was no report.
func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(100 * time.Millisecond).String()
}
