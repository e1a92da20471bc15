package objecthttp

import (
	"encoding/json"

	"chutelock.dev/chutelock/internal/rawjson"
)

// DecodeParts implements rawjson.Parted.
func (b *objectBody) DecodeParts(members map[string]json.RawMessage) error {
	b.Spec = members["spec"]
	return rawjson.DecodeMember(members, "metadata", &b.Metadata)
}

// DecodeParts implements rawjson.Parted.
func (b *listBody) DecodeParts(members map[string]json.RawMessage) error {
	items, err := rawjson.Elements(members["items"])
	if err != nil {
		return err
	}
	b.Items = make([]objectBody, len(items))
	for i, item := range items {
		if err := rawjson.Decode(item, &b.Items[i]); err != nil {
			return err
		}
	}
	return rawjson.DecodeMember(members, "metadata", &b.Metadata)
}

// DecodeParts implements rawjson.Parted.
func (b *eventBody) DecodeParts(members map[string]json.RawMessage) error {
	b.Object = members["object"]
	return rawjson.DecodeMember(members, "type", &b.Type)
}
