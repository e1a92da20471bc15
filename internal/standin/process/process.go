package process

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/gravitational/trace"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
)

// LoadConfig reads a YAML file over the values that target holds already and
// validates the result. Unknown fields are refused.
func LoadConfig(name string, target any) error {
	settings := koanf.New(".")
	if name != "" {
		if err := settings.Load(file.Provider(name), yaml.Parser()); err != nil {
			return trace.Wrap(err, "read %s", name)
		}
	}
	err := settings.UnmarshalWithConf("", target, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		Result:           target,
		ErrorUnused:      true,
		WeaklyTypedInput: true,
		TagName:          "koanf",
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
		),
	}})
	if err != nil {
		return trace.Wrap(err, "settings file %s", name)
	}
	return trace.Wrap(validator.New().Struct(target), "settings file %s", name)
}

// Ready is what a ready file tells.
type Ready struct {
	Process int    `json:"process"`
	Name    string `json:"name"`
	// Address is where the protocol is spoken, Control where faults are set.
	Address string `json:"address"`
	Control string `json:"control"`
}

// WriteReadyFile writes the file in one step, so that a reader sees all of it
// or nothing.
func WriteReadyFile(name string, ready Ready) error {
	if name == "" {
		return nil
	}
	ready.Process = os.Getpid()
	content, err := json.Marshal(ready)
	if err != nil {
		return trace.Wrap(err)
	}
	partial, err := os.CreateTemp(filepath.Dir(name), ".ready-*")
	if err != nil {
		return trace.Wrap(err, "ready file")
	}
	_, err = partial.Write(append(content, '\n'))
	if closeErr := partial.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(partial.Name(), name)
	}
	return trace.Wrap(err, "ready file")
}
