package batchwork

import (
	"unique"

	"chutelock.dev/chutelock/internal/catalog"
)

// textOrigin tells where an item's text began. Only runs at engines of its release may continue the
// text. The zero value is that of an item without text, or whose text was begun by a node that
// didn't record it.
type textOrigin struct {
	// release is the zero handle if it is unknown.
	release unique.Handle[catalog.Release]
	// restarts counts how often the text was replaced by that of a run that started over, which
	// tells apart texts that end at the same event.
	restarts uint32
}

// newTextOrigin returns an origin; a zero release is unknown.
func newTextOrigin(release catalog.Release, restarts uint32) textOrigin {
	o := textOrigin{restarts: restarts}
	if release != (catalog.Release{}) {
		o.release = unique.Make(release)
	}
	return o
}

// known reports whether the release is known.
func (o textOrigin) known() bool { return o.release != unique.Handle[catalog.Release]{} }

// value returns the release; zero if it is unknown.
func (o textOrigin) value() catalog.Release {
	if !o.known() {
		return catalog.Release{}
	}
	return o.release.Value()
}

// isRelease reports whether the release is known and the given one.
func (o textOrigin) isRelease(release catalog.Release) bool {
	return o.known() && o.release.Value() == release
}

// fixedOrigin is an encoded textOrigin; its fields are the service and the version.
type fixedOrigin struct {
	Restarts uint32
	// Fresh is set in an update whose text replaces that of the item, and in the request for a run
	// that starts over.
	Fresh bool
}

const originFields = 2

func encodeOrigin(o textOrigin, fresh bool) []byte {
	release := o.value()
	return marshal(fixedOrigin{o.restarts, fresh}, []byte(release.Service), []byte(release.Version))
}

func decodeOrigin(encoded []byte) (o textOrigin, fresh bool, err error) {
	var fixed fixedOrigin
	fields, err := unmarshal(encoded, &fixed, originFields)
	if err != nil {
		return textOrigin{}, false, err
	}
	release := catalog.Release{Service: string(fields[0]), Version: string(fields[1])}
	return newTextOrigin(release, fixed.Restarts), fixed.Fresh, nil
}

// follows reports whether an update may change an item: it follows the item's last event and text,
// and any text that it appends is of the release that began the item's. An update of an older
// node, which doesn't tell its release, is taken as it comes, as older replicas do.
func (u *itemUpdate) follows(item *itemState) bool {
	if item.lastEvent != u.from || item.origin.restarts != u.origin.restarts {
		return false
	}
	appends := u.hasText() && !u.fresh && item.lastEvent > 0
	return !appends || !u.origin.known() || u.origin == item.origin
}

// nextOrigin returns the origin of the item's text after an update with text.
func (u *itemUpdate) nextOrigin() textOrigin {
	next := u.origin
	if u.fresh {
		next.restarts++
	}
	return next
}

// mustStartOver reports whether an item has text that an engine can't continue.
func (i *openItem) mustStartOver(engine catalog.Engine) bool {
	return i.lastEvent > 0 && !i.origin.isRelease(engine.Release())
}
