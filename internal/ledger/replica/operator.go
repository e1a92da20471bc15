package replica

import (
	"encoding/json"
	"net/http"
)

// PathLedger is where the operator port tells the ledger's status.
const PathLedger = "/operator/ledger"

// ServeStatus answers with Status as JSON.
func (s *Service) ServeStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(s.Status())
}
