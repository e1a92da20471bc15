package replica

import (
	"encoding/json"
	"net/http"
)

// PathLedger is the path of the ledger's status on the operator port.
const PathLedger = "/operator/ledger"

// ServeStatus writes Status as JSON.
func (s *Service) ServeStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(s.Status())
}
