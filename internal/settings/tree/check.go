package tree

import (
	"encoding/hex"
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"chutelock.dev/chutelock/internal/apikey"
)

// keyPrefix starts the stored form of a key.
const keyPrefix = "sha256:"

var validate = newValidator()

func newValidator() *validator.Validate {
	result := validator.New(validator.WithRequiredStructEnabled())
	result.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return result
}

// checkNode validates a node without regard to the other nodes.
func checkNode(node *Node) []Problem {
	var problems []Problem
	report := func(field, reason string) {
		problems = append(problems, Problem{Path: node.Path, Field: field, Reason: reason})
	}
	if err := CheckPath(node.Path); err != nil {
		report("path", err.Error())
	}
	var violations validator.ValidationErrors
	if errors.As(validate.Struct(node), &violations) {
		for _, violation := range violations {
			report(violationField(violation), violationReason(violation))
		}
	}
	if node.Kind == KindService && node.Model == "" {
		report("model", "a service needs a model")
	}
	if node.Kind != KindService && node.Model != "" {
		report("model", "only a service has a model")
	}
	if node.Kind != KindTenant && (node.Name != "" || len(node.Keys) > 0) {
		report("keys", "only a tenant has a name or keys")
	}
	for _, key := range node.Keys {
		if _, ok := parseKey(key); !ok {
			report("keys", "a stored key must be sha256: and 64 hex digits")
		}
	}
	return problems
}

func violationField(violation validator.FieldError) string {
	_, field, found := strings.Cut(violation.Namespace(), ".")
	if !found {
		return violation.Field()
	}
	return strings.TrimPrefix(field, "Fields.")
}

var reasonPrefixes = map[string]string{
	"gte": "must be at least ", "lte": "must be at most ", "gt": "must be more than ",
	"oneof": "must be one of ", "unique": "must not repeat a value", "required": "must not be empty",
}

func violationReason(violation validator.FieldError) string {
	return reasonPrefixes[violation.Tag()] + violation.Param()
}

// parseKey parses the stored form of a key.
func parseKey(text string) (apikey.Hash, bool) {
	var hash apikey.Hash
	digits, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

// storedKey returns the stored form of a plaintext or hashed key from a file.
func storedKey(key string) string {
	if strings.HasPrefix(key, keyPrefix) {
		return strings.ToLower(key)
	}
	hash := apikey.HashKey(key)
	return keyPrefix + hex.EncodeToString(hash[:])
}
