// Package config reads a node's own settings file: its name, location, addresses
// and folders. Settings shared by all nodes are in package settings/tree instead.
package config

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/gravitational/trace"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
)

// Node holds the settings of a node's settings file.
type Node struct {
	Node     Identity `koanf:"node"`
	Listen   Listen   `koanf:"listen"`
	Peers    Peers    `koanf:"peers"`
	Platform Platform `koanf:"platform"`
	Data     Data     `koanf:"data"`
	TLS      TLS      `koanf:"tls"`
	Drain    Drain    `koanf:"drain"`
	Ledger   Ledger   `koanf:"ledger"`
	Memory   Memory   `koanf:"memory"`
	Batch    Batch    `koanf:"batch"`
	Quota    Quota    `koanf:"quota"`
	// Zones maps zones to regions; a zone that is not listed has no region.
	Zones     map[string]string `koanf:"zones"`
	SlowStart SlowStart         `koanf:"slow_start"`
	Overload  Overload          `koanf:"overload"`
}

// Overload configures the decisions for callers that compete for room and for engines that
// differ in speed, in the "objects" dialect.
type Overload struct {
	// Mode is one of the Overload constants.
	Mode string `koanf:"mode" validate:"oneof=off on auto"`
	// Weights are the weights of tenants when room is short, by name. A tenant without one
	// has its limit's rate as weight, or 1 if it has no limit.
	Weights map[string]float64 `koanf:"weights" validate:"dive,gt=0,finite"`
	// JobLateness is the predicted time to complete a batch job, as a multiple of the time
	// that its route allows, above which the job is refused; 0 accepts all.
	JobLateness float64 `koanf:"job_lateness" validate:"eq=0|min=1"`
	// SpeedProbes is the number of health requests per second to each engine whose speed is
	// not known from other responses, from all nodes together; 0 sends none.
	SpeedProbes float64 `koanf:"speed_probes" validate:"min=0,max=20"`
}

// Values of Overload.Mode.
const (
	// OverloadOff disables the decisions, and OverloadOn enables them.
	OverloadOff = "off"
	OverloadOn  = "on"
	// OverloadAuto enables them where the platform's contract says that callers compete for
	// room, and from when engines report that they share their machines with others.
	OverloadAuto = "auto"
)

// SlowStart bounds the requests to a cold engine within any second from all nodes together:
// Overage times its rate, plus Slack requests.
type SlowStart struct {
	Overage float64 `koanf:"overage" validate:"min=1"`
	Slack   float64 `koanf:"slack" validate:"min=0"`
}

// Batch configures batch jobs in the "objects" dialect.
type Batch struct {
	// Keep is how long a closed job stays readable after its submission.
	Keep time.Duration `koanf:"keep" validate:"min=1s"`
	// LocalRuns is the number of items that the leader runs itself before it delegates
	// further ones to other data nodes.
	LocalRuns int `koanf:"local_runs" validate:"min=0"`
}

// Memory bounds the node's memory use.
type Memory struct {
	// SoftLimit is the soft memory limit of the Go runtime in MiB; the store's caches
	// are not included.
	SoftLimit int `koanf:"soft_limit" validate:"min=16"`
	// Limit is the size in MiB at which the platform kills the process; 0 if there
	// is none. The soft limit is at least softLimitShare of it.
	Limit int `koanf:"limit" validate:"min=0"`
}

// softLimitShare is the least soft limit as a share of Limit. The rest is for the
// store's caches, kernel buffers and allocations during a garbage collection.
const softLimitShare = 0.6

// SoftBytes returns the effective soft limit in bytes.
func (m Memory) SoftBytes() int64 {
	return max(int64(m.SoftLimit)<<20, int64(softLimitShare*float64(int64(m.Limit)<<20)))
}

// Identity holds the node's name and location.
type Identity struct {
	Name   string `koanf:"name" validate:"required,hostname_rfc1123"`
	Zone   string `koanf:"zone" validate:"required,hostname_rfc1123"`
	Region string `koanf:"region" validate:"required,hostname_rfc1123"`
}

// Listen holds the addresses ("ip:port", port 0 allowed) of the node's ports.
type Listen struct {
	Callers   string `koanf:"callers" validate:"required,ip_port"`
	Operators string `koanf:"operators" validate:"required,ip_port"`
	Peers     string `koanf:"peers" validate:"required,ip_port"`
	// Advertise is the address at which peers reach the node if it differs from
	// Peers, as behind a relay.
	Advertise string `koanf:"advertise" validate:"omitempty,ip_port"`
	// Readiness is the address of the readiness check in the "objects" dialect;
	// empty on a node that serves no callers.
	Readiness string `koanf:"readiness" validate:"omitempty,ip_port"`
	// Metrics is the address that serves /metrics in the "objects" dialect; empty
	// disables it.
	Metrics string `koanf:"metrics" validate:"omitempty,ip_port"`
	// Descriptors is how many sockets and files the process may have open, from which the bound on
	// callers' connections follows in the "objects" dialect; 0 if unknown.
	Descriptors int `koanf:"descriptors" validate:"min=0"`
}

// PeerAddress returns the address at which peers reach the node.
func (l Listen) PeerAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Peers configures how the node finds and authenticates its peers.
type Peers struct {
	// Seeds are addresses of peers to join through; one reachable peer suffices.
	Seeds []string `koanf:"seeds" validate:"dive,ip_port"`
	// KeyFile is the file of the shared keys, one hexadecimal key per line. It may
	// be empty in the "objects" dialect, where no secrets are available: peers then
	// use a publicly known key, which rejects stray traffic but not attackers.
	KeyFile string `koanf:"key_file"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// Address is the platform's "ip:port".
	Address string `koanf:"address" validate:"required,ip_port"`
	// Dialect is the protocol of the platform and the callers: "openai" for the
	// OpenAI API with a store in the Kubernetes API conventions, "objects" for
	// a platform whose store holds the whole configuration as objects.
	Dialect string `koanf:"dialect" validate:"oneof=openai objects"`
	// Apply bounds the time from the acknowledgement of a configuration version
	// until it is in force on every node, in the "objects" dialect.
	Apply time.Duration `koanf:"apply" validate:"min=500ms,max=1h"`
	// Revoke is how long a node that cannot confirm its configuration continues to
	// accept callers' keys; 0 means indefinitely.
	Revoke time.Duration `koanf:"revoke" validate:"min=0,max=24h"`
	// Leave bounds the time from when the platform's store marks an engine as leaving
	// until nodes send it no new requests.
	Leave time.Duration `koanf:"leave" validate:"min=500ms,max=1h"`
	// Drain bounds the time from when the platform's store marks a zone as drained until
	// its engines get no new requests; 0 if zones are never drained.
	Drain time.Duration `koanf:"drain" validate:"min=0,max=1h"`
	// Contracts are the parts of the platform's contract that are in force, by its names.
	Contracts []string `koanf:"contracts"`
}

// Values of Platform.Dialect.
const (
	DialectOpenAI  = "openai"
	DialectObjects = "objects"
)

// Quota configures how tenants' limits are enforced over all nodes together.
type Quota struct {
	// Window is the length of the interval in which a tenant may send its rate times
	// Window plus its burst.
	Window time.Duration `koanf:"window" validate:"min=1s,max=10m"`
	// Overage and Slack bound how far a limit may be exceeded due to delays between
	// nodes: as a share of the limit, plus a number of requests.
	Overage float64 `koanf:"overage" validate:"min=0,max=1"`
	Slack   float64 `koanf:"slack" validate:"min=0"`
}

// Data configures the storage of bulk data. A node with an empty Folder stores none.
type Data struct {
	Folder string `koanf:"folder"`
	// Size is the disk's size in MiB; 0 means that it is not a constraint.
	Size int `koanf:"size" validate:"min=0"`
}

// TLS holds the certificate and key files for the callers' and operators' ports; both or
// neither must be set.
type TLS struct {
	Certificate string `koanf:"certificate" validate:"required_with=Key"`
	Key         string `koanf:"key" validate:"required_with=Certificate"`
}

// Drain configures a node's graceful shutdown; Platform.Drain is about zones.
type Drain struct {
	Timeout time.Duration `koanf:"timeout" validate:"min=0"`
}

// Ledger configures the sharding and replication of the ledger; it must be the same on all
// nodes.
type Ledger struct {
	Shards int `koanf:"shards" validate:"min=1,max=4096"`
	// Copies is the minimum number of replicas per shard.
	Copies int `koanf:"copies" validate:"oneof=1 3 5 7"`
	// Losses is the number of disks that may be lost simultaneously; it may raise
	// the number of replicas above Copies.
	Losses int `koanf:"losses" validate:"min=0,max=3"`
	// ZoneLosses is the number of zones that may be lost simultaneously.
	ZoneLosses int `koanf:"zone_losses" validate:"min=0,max=1"`
	// ReplaceAfter is how long a data node may be unreachable before it is replaced.
	ReplaceAfter time.Duration `koanf:"replace_after" validate:"min=1s"`
}

// Replicas returns the number of replicas per shard, of which a majority survives the
// loss of any Losses disks.
func (l Ledger) Replicas() int { return max(l.Copies, 2*l.Losses+1) }

// defaults apply to settings that neither the file nor flags set.
var defaults = map[string]any{
	"listen.callers":        "127.0.0.1:0",
	"listen.operators":      "127.0.0.1:0",
	"listen.peers":          "127.0.0.1:0",
	"listen.descriptors":    0,
	"drain.timeout":         "60s",
	"ledger.shards":         8,
	"ledger.copies":         5,
	"ledger.replace_after":  "60s",
	"memory.soft_limit":     48,
	"memory.limit":          0,
	"platform.dialect":      DialectOpenAI,
	"platform.apply":        "2s",
	"platform.leave":        "2s",
	"platform.revoke":       "0s",
	"platform.drain":        "0s",
	"slow_start.overage":    1.5,
	"slow_start.slack":      5,
	"quota.window":          "5s",
	"quota.overage":         0.1,
	"quota.slack":           20,
	"batch.keep":            "24h",
	"batch.local_runs":      100,
	"overload.mode":         OverloadOff,
	"overload.job_lateness": 0,
	"overload.speed_probes": 0,
}

// Overrides are the settings given by flags, by their path in the file.
type Overrides map[string]any

// RegisterFlags adds a flag for each scalar setting, named by its path. Parsing
// the flags fills the returned Overrides.
func RegisterFlags(flags *flag.FlagSet) Overrides {
	overrides := Overrides{}
	for _, path := range Paths() {
		flags.Func(path, "override "+path+" of the settings file", func(value string) error {
			overrides[path] = value
			return nil
		})
	}
	return overrides
}

// Paths returns the paths of the scalar settings in the file.
func Paths() []string { return settingPaths(reflect.TypeOf(Node{}), "") }

func settingPaths(structure reflect.Type, prefix string) []string {
	var paths []string
	for i := range structure.NumField() {
		field := structure.Field(i)
		path := prefix + field.Tag.Get("koanf")
		switch {
		case field.Type.Kind() == reflect.Struct:
			paths = append(paths, settingPaths(field.Type, path+".")...)
		case field.Type.Kind() != reflect.Slice && field.Type.Kind() != reflect.Map:
			paths = append(paths, path)
		}
	}
	return paths
}

// Load reads the settings file at path, applies defaults and overrides, and validates
// the result. A validation error names the file and every invalid field.
func Load(path string, overrides Overrides) (*Node, error) {
	tree := koanf.New(".")
	if err := tree.Load(confmap.Provider(defaults, "."), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	if path != "" {
		if err := tree.Load(file.Provider(path), yaml.Parser()); err != nil {
			return nil, trace.BadParameter("%s: %v", path, err)
		}
	}
	if err := tree.Load(confmap.Provider(overrides, "."), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	var node Node
	if err := unmarshalStrictly(tree, &node); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	if err := validateNode(&node); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return &node, nil
}

func unmarshalStrictly(tree *koanf.Koanf, node *Node) error {
	return tree.UnmarshalWithConf("", node, koanf.UnmarshalConf{
		DecoderConfig: &mapstructure.DecoderConfig{
			Result:           node,
			TagName:          "koanf",
			ErrorUnused:      true,
			WeaklyTypedInput: true,
			DecodeHook:       mapstructure.StringToTimeDurationHookFunc(),
		},
	})
}

// validateNode validates all fields. Its error lists all invalid ones by path.
func validateNode(node *Node) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("koanf") })
	if err := validate.RegisterValidation("ip_port", isIPPort); err != nil {
		return trace.Wrap(err)
	}
	if err := validate.RegisterValidation("finite", isFinite); err != nil {
		return trace.Wrap(err)
	}
	err := validate.Struct(node)
	if err == nil && node.Platform.Dialect == DialectOpenAI && node.Peers.KeyFile == "" {
		return errors.New(`peers.key_file: "" does not satisfy "required"`)
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	lines := make([]string, 0, len(failures))
	for _, failure := range failures {
		path := strings.TrimPrefix(failure.Namespace(), "Node.")
		rule := strings.TrimSpace(failure.Tag() + " " + failure.Param())
		lines = append(lines, fmt.Sprintf("%s: %q does not satisfy %q", path, fmt.Sprint(failure.Value()), rule))
	}
	return errors.New(strings.Join(lines, "; "))
}

// isFinite reports whether a number is neither infinite nor NaN.
func isFinite(field validator.FieldLevel) bool {
	value := field.Field().Float()
	return !math.IsInf(value, 0) && !math.IsNaN(value)
}

// Describe writes a summary of the effective settings, for the -check flag.
func Describe(out io.Writer, node *Node) {
	fmt.Fprintf(out, "node %s in zone %s, region %s: settings are valid\n", node.Node.Name, node.Node.Zone, node.Node.Region)
	fmt.Fprintf(out, "  callers %s, operators %s, peers %s\n", node.Listen.Callers, node.Listen.Operators, node.Listen.Peers)
	fmt.Fprintf(out, "  platform %s, data folder %q, %d shards of %d copies\n",
		node.Platform.Address, node.Data.Folder, node.Ledger.Shards, node.Ledger.Replicas())
}
