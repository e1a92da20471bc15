package experiment

import (
	"fmt"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/gravitational/trace"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"

	"chutelock.dev/chutelock/internal/lab/sim"
)

// Seeds is the range of traffic seeds of an experiment.
type Seeds struct {
	First uint64 `koanf:"first"`
	Count int    `koanf:"count" validate:"gt=0"`
}

// File is the content of a YAML experiment file.
type File struct {
	Name        string       `koanf:"name" validate:"required"`
	Description string       `koanf:"description"`
	Seeds       Seeds        `koanf:"seeds"`
	Run         sim.Config   `koanf:"run"`
	Policies    []sim.Policy `koanf:"policies" validate:"min=1,dive"`
	// Reference names the policy that all others are compared with, seed by seed.
	Reference string `koanf:"reference" validate:"required"`
}

// Load reads and validates an experiment file; unknown fields are an error.
func Load(path string) (File, error) {
	tree := koanf.New(".")
	if err := tree.Load(file.Provider(path), yaml.Parser()); err != nil {
		return File{}, trace.Wrap(err, "read experiment %v", path)
	}
	var loaded File
	decoder := &mapstructure.DecoderConfig{
		DecodeHook:  mapstructure.StringToTimeDurationHookFunc(),
		ErrorUnused: true,
		Result:      &loaded,
		TagName:     "koanf",
	}
	if err := tree.UnmarshalWithConf("", &loaded, koanf.UnmarshalConf{Tag: "koanf", DecoderConfig: decoder}); err != nil {
		return File{}, trace.Wrap(err, "decode experiment %v", path)
	}
	if err := validator.New().Struct(loaded); err != nil {
		return File{}, trace.Wrap(err, "validate experiment %v", path)
	}
	return loaded, trace.Wrap(loaded.checkReference(), "validate experiment %v", path)
}

func (f File) checkReference() error {
	for _, policy := range f.Policies {
		if policy.Name == f.Reference {
			return nil
		}
	}
	return fmt.Errorf("reference: no policy is named %q", f.Reference)
}
