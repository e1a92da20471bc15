package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"chutelock.dev/chutelock/internal/fleet/query"
)

func init() {
	subcommands = append(subcommands, subcommand{name: "fleet", summary: "show nodes, engines, their homes and what leaves, as one node sees them", run: runFleet})
}

const fleetUsage = `usage: chutelockctl fleet [flags] [nodes|engines|zones]

Shows the fleet as the node behind -server, an operator port, sees it:
  nodes    state, elected roles, and the number of engines each is home of
  engines  home, load, and for a leaving engine the sources that say so
  zones    each zone's capacity for each model, and how old that news is

Without a word it shows nodes and engines; -o json shows all.

  chutelockctl fleet -server http://127.0.0.1:9080 engines`

// Parts of the listing.
const (
	partNodes   = "nodes"
	partEngines = "engines"
	partZones   = "zones"
)

func runFleet(arguments []string) int {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	var connection connection
	connection.register(flags)
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), fleetUsage)
		flags.PrintDefaults()
	}
	if code, ok := connection.parse(flags, arguments); !ok {
		return code
	}
	parts := flags.Args()
	if len(parts) == 0 {
		parts = []string{partNodes, partEngines}
	}
	var fleet query.Fleet
	response, err := connection.client().R().SetResult(&fleet).Get(query.PathFleet)
	if code := failed("fleet", response, err); code != exitOK {
		return code
	}
	if connection.output == outputJSON {
		parts = parts[:1]
	}
	for _, part := range parts {
		header, rows := fleetTable(&fleet, part, time.Now())
		if header == "" {
			fmt.Fprintf(os.Stderr, "fleet: no part %q; want nodes, engines or zones\n", part)
			return exitUsage
		}
		if err := connection.print(os.Stdout, fleet, header, rows); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
	}
	return exitOK
}

// fleetTable returns the header and the rows of a part, or no header for an
// unknown one.
func fleetTable(fleet *query.Fleet, part string, now time.Time) (header string, rows []string) {
	switch part {
	case partNodes:
		return "NODE\tZONE\tREGION\tSTATE\tDATA\tENGINES\tROLES", memberRows(fleet)
	case partEngines:
		return "ENGINE\tZONE\tHOME\tLEAVING\tRUNNING\tWAITING\tBATCH\tKV\tAGE\tMODELS", engineRows(fleet, now)
	case partZones:
		return "ZONE\tMODEL\tENGINES\tRUNNING\tWAITING\tAGE", zoneRows(fleet, now)
	}
	return "", nil
}

func memberRows(fleet *query.Fleet) []string {
	var rows []string
	for _, node := range fleet.Nodes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%d\t%s", node.Name, node.Zone, node.Region,
			node.State, node.HasData, node.Engines, strings.Join(node.Roles, ", ")))
	}
	return rows
}

func engineRows(fleet *query.Fleet, now time.Time) []string {
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

func zoneRows(fleet *query.Fleet, now time.Time) []string {
	var rows []string
	for _, zone := range fleet.Zones {
		for _, model := range zone.Models {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s", zone.Zone, model.Model,
				model.Engines, model.Running, model.Waiting, age(now, zone.Heard)))
		}
	}
	return rows
}

// age says how old a report is; a report that never came is "never".
func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(100 * time.Millisecond).String()
}
