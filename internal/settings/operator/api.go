package operator

import (
	"encoding/json"
	"time"

	"chutelock.dev/chutelock/internal/settings/agent"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/dissemination"
	"chutelock.dev/chutelock/internal/settings/tree"
)

// URL paths on the operator port.
const (
	PathApply   = "/operator/settings/apply"
	PathNodes   = "/operator/settings/nodes"
	PathExplain = "/operator/settings/explain"
	PathStatus  = "/operator/settings/status"
	PathRecover = "/operator/settings/recover"
)

// Error codes.
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

// NodeBody is the JSON form of a tree node.
type NodeBody struct {
	Path     string          `json:"path"`
	Revision uint64          `json:"revision,omitempty"`
	Spec     json.RawMessage `json:"spec"`
}

// ApplyRequest is the body of a request to change settings.
type ApplyRequest struct {
	command.Change
	Nodes []NodeBody `json:"nodes,omitempty"`
}

// RecoverRequest is the body of a request to write the settings in force to a
// store that went back in revision.
type RecoverRequest struct {
	ID string `json:"id"`
	By string `json:"by,omitempty"`
}

// NodesAnswer is the response to a request for nodes.
type NodesAnswer struct {
	Nodes []NodeBody `json:"nodes"`
}

// StatusAnswer reports the settings in force at the node and in each zone.
type StatusAnswer struct {
	At    time.Time                  `json:"at"`
	Node  agent.Status               `json:"node"`
	Zones []dissemination.ZoneStatus `json:"zones"`
	// ZonesError is set if the status of the zones could not be read.
	ZonesError string         `json:"zonesError,omitempty"`
	Problems   []tree.Problem `json:"problems,omitempty"`
}

// ErrorAnswer is an error response in the format of the public API.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody holds the error code, the message and details for its resolution.
type ErrorBody struct {
	Code     string                 `json:"code"`
	Message  string                 `json:"message"`
	Problems []tree.Problem         `json:"problems,omitempty"`
	Conflict *command.ConflictError `json:"conflict,omitempty"`
	// Result reports what was written before the change failed.
	Result *command.Result `json:"result,omitempty"`
}
