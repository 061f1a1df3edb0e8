package standin

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// value is a field of a row in its text form; nil is NULL.
type value = *string

// kind is the type of a column or parameter.
type kind uint8

const (
	kindText kind = iota
	kindInt
	kindBool
	kindFloat
)

// OIDs of types in the PostgreSQL protocol.
const (
	oidBool    = 16
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat8  = 701
	oidVarchar = 1043
)

// Format codes of the PostgreSQL protocol.
const (
	formatText   = 0
	formatBinary = 1
)

// oid returns the type OID of a kind and the size of its values; -1 means variable
// size.
func (k kind) oid() (uint32, int16) {
	switch k {
	case kindInt:
		return oidInt8, 8
	case kindBool:
		return oidBool, 1
	case kindFloat:
		return oidFloat8, 8
	}
	return oidText, -1
}

// textValue returns a non-NULL value.
func textValue(s string) value { return &s }

// intValue returns a number as a value.
func intValue(n int64) value { return textValue(strconv.FormatInt(n, 10)) }

// canonicalize returns the canonical text form of v as a value of kind k.
func (k kind) canonicalize(v value) (value, *sqlError) {
	if v == nil {
		return nil, nil
	}
	switch k {
	case kindInt:
		n, err := strconv.ParseInt(strings.TrimSpace(*v), 10, 64)
		if err != nil {
			return nil, errorf(codeInvalidText, "invalid input syntax for type bigint: %q", *v)
		}
		return intValue(n), nil
	case kindBool:
		return parseBool(*v)
	}
	return v, nil
}

func parseBool(s string) (value, *sqlError) {
	switch strings.ToLower(s) {
	case "t", "true", "on", "1":
		return textValue("t"), nil
	case "f", "false", "off", "0":
		return textValue("f"), nil
	}
	return nil, errorf(codeInvalidText, "invalid input syntax for type boolean: %q", s)
}

// encode encodes a value in a format.
func (k kind) encode(v value, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == formatText {
		return []byte(*v)
	}
	switch k {
	case kindInt:
		n, _ := strconv.ParseInt(*v, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case kindBool:
		if *v == "t" {
			return []byte{1}
		}
		return []byte{0}
	}
	return []byte(*v)
}

// decodeParameter decodes a parameter of a Bind message.
func decodeParameter(oid uint32, format int16, raw []byte) (value, *sqlError) {
	if raw == nil {
		return nil, nil
	}
	if format == formatText {
		return textValue(string(raw)), nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return intValue(int64(binary.BigEndian.Uint64(raw))), nil
	case oid == oidInt4 && len(raw) == 4:
		return intValue(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case oid == oidInt2 && len(raw) == 2:
		return intValue(int64(int16(binary.BigEndian.Uint16(raw)))), nil
	case oid == oidFloat8 && len(raw) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(raw))
		return textValue(strconv.FormatFloat(f, 'g', -1, 64)), nil
	case oid == oidBool && len(raw) == 1:
		return parseBool(fmt.Sprint(raw[0]))
	case oid == oidText || oid == oidVarchar || oid == 0:
		return textValue(string(raw)), nil
	}
	return nil, errorf(codeInvalidBinary, "binary parameter of type OID %d and %d bytes is not supported", oid, len(raw))
}

// compare compares two non-NULL values and returns -1, 0 or 1.
func (k kind) compare(a, b string) int {
	if k != kindInt {
		return strings.Compare(a, b)
	}
	x, _ := strconv.ParseInt(a, 10, 64)
	y, _ := strconv.ParseInt(b, 10, 64)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
