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

// LoadConfig reads a YAML file into target, keeping values that the file doesn't
// set, and validates the result. Unknown fields are an error.
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

// Ready is the content of a ready file.
type Ready struct {
	Process int    `json:"process"`
	Name    string `json:"name"`
	// Address is that of the stand-in's API, Control that of its control endpoint.
	Address string `json:"address"`
	Control string `json:"control"`
}

// WriteReadyFile writes the ready file atomically, with the ID of this process.
// It does nothing if name is empty.
func WriteReadyFile(name string, ready Ready) error {
	if name == "" {
		return nil
	}
	ready.Process = os.Getpid()
	content, err := json.Marshal(ready)
	if err != nil {
		return trace.Wrap(err)
	}
	temp, err := os.CreateTemp(filepath.Dir(name), ".ready-*")
	if err != nil {
		return trace.Wrap(err, "ready file")
	}
	_, err = temp.Write(append(content, '\n'))
	if closeErr := temp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp.Name(), name)
	}
	return trace.Wrap(err, "ready file")
}
