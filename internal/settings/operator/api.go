package operator

import (
	"encoding/json"
	"time"

	"chutelock.dev/chutelock/internal/settings/agent"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// Paths on the operator port.
const (
	PathApply   = "/operator/settings/apply"
	PathNodes   = "/operator/settings/nodes"
	PathExplain = "/operator/settings/explain"
	PathStatus  = "/operator/settings/status"
	PathRecover = "/operator/settings/recover"
)

// Codes of refusals.
const (
	CodeInvalid        = "invalid_settings"
	CodeConflict       = "conflict"
	CodeOutcomeUnknown = "outcome_unknown"
	CodeStoreBehind    = "store_behind"
	CodeNotReady       = "not_ready"
	CodeBadRequest     = "bad_request"
	CodeNotFound       = "not_found"
	CodeStoreFailed    = "store_failed"
)

// NodeBody is a node of the tree as it travels.
type NodeBody struct {
	Path     string          `json:"path"`
	Revision uint64          `json:"revision,omitempty"`
	Spec     json.RawMessage `json:"spec"`
}

// ApplyRequest asks for a change.
type ApplyRequest struct {
	command.Change
	Nodes []NodeBody `json:"nodes,omitempty"`
}

// RecoverRequest asks to write what is in force to a store that went back.
type RecoverRequest struct {
	ID string `json:"id"`
	By string `json:"by,omitempty"`
}

// NodesAnswer lists nodes.
type NodesAnswer struct {
	Nodes []NodeBody `json:"nodes"`
}

// StatusAnswer tells what is in force at the node and in each zone.
type StatusAnswer struct {
	At    time.Time                  `json:"at"`
	Node  agent.Status               `json:"node"`
	Zones []dissemination.ZoneStatus `json:"zones"`
	// ZonesError says why the zones are not known.
	ZonesError string         `json:"zonesError,omitempty"`
	Problems   []tree.Problem `json:"problems,omitempty"`
}

// ErrorAnswer is a refusal in the shape of the callers' API.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody says why, and carries what helps to go on.
type ErrorBody struct {
	Code     string                 `json:"code"`
	Message  string                 `json:"message"`
	Problems []tree.Problem         `json:"problems,omitempty"`
	Conflict *command.ConflictError `json:"conflict,omitempty"`
	// Result says what was written before the change stopped.
	Result *command.Result `json:"result,omitempty"`
}
