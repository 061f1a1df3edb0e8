package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
	"gopkg.in/yaml.v3"
)

// Units of sizes, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	sizePattern = regexp.MustCompile(`^(\d+)(B|KiB|MiB|GiB)$`)
)

const nameRule = "must be 1 to 63 lower case letters, digits and hyphens"

// scalar returns the text of a scalar value.
func (d *decoder) scalar(n *yaml.Node, path string) (string, bool) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		d.addFinding(n, path, "must be a single value, is %s", describe(n))
		return "", false
	}
	return n.Value, true
}

// text returns the string below a key, or fallback if the key is missing.
func (m *mapping) text(key, fallback string) string {
	e, ok := m.lookup(key)
	if !ok {
		return fallback
	}
	s, ok := m.scalar(e.value, e.path)
	if !ok {
		return fallback
	}
	return s
}

// name returns the required name below a key.
func (m *mapping) name(key string) string {
	e, ok := m.required(key)
	if !ok {
		return ""
	}
	return m.nameValue(e.value, e.path)
}

func (d *decoder) nameValue(n *yaml.Node, path string) string {
	s, ok := d.scalar(n, path)
	if ok && !namePattern.MatchString(s) {
		d.addFinding(n, path, "%q %s", s, nameRule)
		return ""
	}
	return s
}

// parseScalar returns the result of parse for the scalar below a key, or fallback if
// the key is missing. An error of parse becomes a finding.
func parseScalar[T any](m *mapping, key string, fallback T, parse func(s string) (T, error)) T {
	e, ok := m.lookup(key)
	if !ok {
		return fallback
	}
	s, ok := m.scalar(e.value, e.path)
	if !ok {
		return fallback
	}
	v, err := parse(s)
	if err != nil {
		m.addFinding(e.value, e.path, "%s", err)
		return fallback
	}
	return v
}

// choice returns the value that allowed gives for the scalar below a key.
func choice[T any](m *mapping, key string, fallback T, allowed map[string]T) T {
	return parseScalar(m, key, fallback, func(s string) (T, error) {
		v, ok := allowed[s]
		if !ok {
			return v, fmt.Errorf("%q must be one of %s", s, sortedKeys(allowed))
		}
		return v, nil
	})
}

func sortedKeys[T any](allowed map[string]T) string {
	keys := make([]string, 0, len(allowed))
	for k := range allowed {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

// valueRange is the inclusive range of allowed values.
type valueRange[T any] struct{ min, max T }

// duration returns the duration below a key, which must have a unit.
func (m *mapping) duration(key string, fallback time.Duration, allowed valueRange[time.Duration]) time.Duration {
	return parseScalar(m, key, fallback, func(s string) (time.Duration, error) {
		v, err := time.ParseDuration(s)
		switch {
		case err != nil || isNumber(s):
			return 0, fmt.Errorf("%q must be a duration with a unit, such as 500ms or 5s", s)
		case v < allowed.min || v > allowed.max:
			return 0, fmt.Errorf("%s must lie between %s and %s", v, allowed.min, allowed.max)
		}
		return v, nil
	})
}

// isNumber reports whether s is a number without a unit. time.ParseDuration accepts
// "0" without one.
func isNumber(s string) bool {
	_, err := strconv.ParseFloat(s, 64)
	return err == nil
}

// size returns the size below a key in bytes; the value must have a unit.
func (m *mapping) size(key string, fallback int64, allowed valueRange[int64]) int64 {
	return parseScalar(m, key, fallback, func(s string) (int64, error) {
		v, ok := parseSize(s)
		switch {
		case !ok:
			return 0, fmt.Errorf("%q must be a size with a unit, such as 64KiB or 16MiB", s)
		case v < allowed.min || v > allowed.max:
			return 0, fmt.Errorf("%s must lie between %d B and %d B", s, allowed.min, allowed.max)
		}
		return v, nil
	})
}

func parseSize(s string) (int64, bool) {
	parts := sizePattern.FindStringSubmatch(s)
	if parts == nil {
		return 0, false
	}
	factor := map[string]int64{"B": 1, "KiB": kibibyte, "MiB": mebibyte, "GiB": gibibyte}[parts[2]]
	v, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || v > (1<<62)/factor {
		return 0, false
	}
	return v * factor, true
}

// integer returns the integer below a key, or fallback if the key is missing.
func (m *mapping) integer(key string, fallback int, allowed valueRange[int]) int {
	return parseScalar(m, key, fallback, func(s string) (int, error) {
		v, err := strconv.Atoi(s)
		switch {
		case err != nil:
			return 0, fmt.Errorf("%q must be a whole number", s)
		case v < allowed.min || v > allowed.max:
			return 0, fmt.Errorf("%d must lie between %d and %d", v, allowed.min, allowed.max)
		}
		return v, nil
	})
}

// requiredInteger is integer for a required key; a missing key is a finding.
func (m *mapping) requiredInteger(key string, allowed valueRange[int]) int {
	if _, ok := m.required(key); !ok {
		return 0
	}
	return m.integer(key, 0, allowed)
}

// fraction returns the number from 0 to 1 below a key.
func (m *mapping) fraction(key string, fallback float64) float64 {
	return parseScalar(m, key, fallback, func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return 0, fmt.Errorf("%q must be a number from 0 to 1", s)
		}
		return v, nil
	})
}

// list returns the entries of the list below a key.
func (m *mapping) list(key string) []entry {
	e, ok := m.lookup(key)
	if !ok {
		return nil
	}
	if e.value.Kind != yaml.SequenceNode {
		m.addFinding(e.value, e.path, "must be a list, is %s", describe(e.value))
		return nil
	}
	var out []entry
	for i, n := range e.value.Content {
		out = append(out, entry{key: n, value: n, path: e.path + "[" + strconv.Itoa(i) + "]"})
	}
	return out
}

// address returns the IP address and port below a required key. Only the address of
// a listener may be unspecified or have port 0.
func (m *mapping) address(key string, listener bool) types.Address {
	e, ok := m.required(key)
	if !ok {
		return ""
	}
	return m.addressValue(e.value, e.path, listener)
}

func (d *decoder) addressValue(n *yaml.Node, path string, listener bool) types.Address {
	s, ok := d.scalar(n, path)
	if !ok {
		return ""
	}
	addr, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		d.addFinding(n, path, "%q must be an IP address and a port, such as 10.0.0.1:7400", s)
		return ""
	case !listener && (addr.Port() == 0 || addr.Addr().IsUnspecified()):
		d.addFinding(n, path, "%q must be an address that other hosts can reach", s)
		return ""
	}
	return types.Address(s)
}

// IsLoopback reports whether an address is a loopback address, which other machines
// cannot reach.
func IsLoopback(a types.Address) bool {
	addr, err := netip.ParseAddrPort(string(a))
	return err == nil && addr.Addr().IsLoopback()
}

// CheckAnnouncement validates a target's announcement by the rules that apply to the
// same values in files.
func CheckAnnouncement(service, name, address, availabilityZone string) error {
	for _, n := range []string{service, name, availabilityZone} {
		if !namePattern.MatchString(n) {
			return trace.BadParameter("%q %s", n, nameRule)
		}
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return trace.BadParameter("%q must be an IP address and a port that proxies can reach", address)
	}
	return nil
}
