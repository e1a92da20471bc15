package config

import (
	"net/netip"

	"github.com/go-playground/validator/v10"
)

// isIPPort accepts "ip:port" only, as nodes do not resolve host names.
func isIPPort(level validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(level.Field().String())
	return err == nil
}
