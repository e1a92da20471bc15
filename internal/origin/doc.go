// Package origin remembers which release of an engine's software began each stream, so that any
// front node can continue the stream at an engine of the same release: what two releases write
// doesn't fit together, and engines don't check it.
//
// While a service has several releases, the node that begins a stream sends a record to the
// stream's home nodes, which are data nodes chosen by the stream's key, before it passes on the
// first event. A node that is asked to continue the stream asks the homes. There is one record for
// each stream, of the release that brought the first event, so records need no order. Records are
// kept in memory only, as a stream lasts for seconds: if both homes are lost together with the node
// that began the stream, its beginning is unknown.
//
// A stream without a known record is continued only if the service is known to have had a single
// release for as long as a stream may last; see History. Otherwise it is refused.
package origin
