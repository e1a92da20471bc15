package batch

import "time"

// Controller gives batch work the slack that online leaves.
type Controller struct{ config Config }

// NewController returns a controller for any number of engines.
func NewController(config Config) *Controller { return &Controller{config: config} }

// Step implements Policy.
func (c *Controller) Step(_ time.Time, _ Event) []Action { return nil }
