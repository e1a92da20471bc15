// Package fault injects failures into the stand-ins. An Injector holds the
// faults; a stand-in wraps its HTTP handler with Middleware, calls Take where
// other faults apply, and registers an action with On for faults that affect
// the whole process. Faults come from the stand-in's settings file or from its
// control endpoint (Control).
package fault
