package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/lab/hollow"
)

func init() {
	subcommands = append(subcommands, commandline.Verb{
		Name: "scale", Summary: "measure control bytes, processor time and memory of hollow nodes", Run: runScale,
	})
}

// runScale runs hollow fleets of growing size, one after the other, and prints
// a JSON object a line.
func runScale(arguments []string) int {
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	sizes := flags.String("nodes", "10,50,150,490", "numbers of nodes, separated by commas")
	perZone := flags.Int("nodes-per-zone", hollow.TargetNodesPerZone, "nodes in a zone")
	engines := flags.Float64("engines-per-node", hollow.TargetEnginesPerNode, "engines a node")
	requests := flags.Float64("requests", 0, "online requests a second at each node")
	measured := flags.Duration("measured", 15*time.Second, "how long to measure at each size")
	warmUp := flags.Duration("warm-up", time.Minute, "longest wait for whole views")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	quietLogs()
	encoder := json.NewEncoder(os.Stdout)
	for _, text := range strings.Split(*sizes, ",") {
		nodes, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || nodes < 1 {
			fmt.Fprintf(os.Stderr, "-nodes %q: want numbers from 1\n", text)
			return exitUsage
		}
		result, err := hollow.Run(context.Background(), hollow.Config{
			Nodes: nodes, NodesPerZone: *perZone, ZonesPerRegion: hollow.TargetZonesPerRegion,
			EnginesPerNode: *engines, RequestsPerNode: *requests, WarmUp: *warmUp, Measured: *measured,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "%d nodes: %v\n", nodes, err)
			return exitFailure
		}
		if err := encoder.Encode(result); err != nil {
			return exitFailure
		}
	}
	return exitOK
}

// quietLogs keeps the hollow nodes' events out of the output; they would cost
// more than what is measured.
func quietLogs() {
	logs := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(logs)
	_ = logs.Set("logtostderr", "false")
	_ = logs.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}
