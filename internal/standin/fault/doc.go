// Package fault injects failures into the stand-ins. An Injector holds the
// faults in force; a stand-in wraps its HTTP handler with Middleware, asks
// Take where a fault acts deeper inside, and registers an action with On for
// faults that change the process as a whole. Faults come from the stand-in's
// settings file or from its control endpoint (Control).
package fault
