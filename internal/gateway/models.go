package gateway

import (
	"encoding/json"
	"net/http"
	"slices"

	"chutelock.dev/chutelock/internal/gateway/apierror"
)

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	snapshot := g.settings.Current()
	tenant, failure := Authenticate(snapshot, r)
	if failure != nil {
		apierror.Write(w, failure)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	models := snapshot.Models()
	slices.Sort(models)
	for _, model := range models {
		if MayUse(tenant, model) {
			list.Data = append(list.Data, modelObject{ID: model, Object: "model", OwnedBy: "chutelock"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
