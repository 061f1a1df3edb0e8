package pg

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Names of the settings that callers change in the startup message or with SET,
// and read with SHOW.
const (
	settingProfile     = "paddle.profile"
	settingRequestID   = "paddle.request_id"
	settingIdempotent  = "paddle.idempotent"
	settingRead        = "paddle.read"
	settingToken       = "paddle.token" // startup only
	settingFloor       = "paddle.floor" // SHOW only
	settingTraceparent = "paddle.traceparent"
	settingReadOnly    = "default_transaction_read_only"
)

// maxSettingLen is the length limit of a setting's value, in bytes.
const maxSettingLen = 256

// settings are the settings of a session, which determine the attributes of its
// requests.
type settings struct {
	profile    types.ProfileName
	requestID  types.RequestID // for the next request that executes a statement
	idempotent bool
	read       bool
	readOnly   bool
	trace      types.TraceContext
	traceText  string
}

// request returns a request with the attributes that the session has set. A
// request that executes a statement consumes the request id.
func (s *settings) request(st statement, executes bool) types.Request {
	r := types.Request{Profile: s.profile, Idempotent: s.idempotent, Trace: s.trace}
	if s.isRead(st) {
		r.Class = types.ClassRead
	}
	if executes {
		r.ID = s.requestID
		s.requestID = ""
	}
	return r
}

// isRead reports whether the caller declared a statement a read.
func (s *settings) isRead(st statement) bool {
	switch st.kind {
	case stmtBeginRead:
		return true
	case stmtBeginWrite:
		return false
	}
	return s.read || s.readOnly
}

// set changes a setting. It reports false if the session has no setting of that
// name.
func (s *settings) set(name, value string) (bool, error) {
	if len(value) > maxSettingLen {
		return true, trace.BadParameter("value of %s has %d bytes; the limit is %d", name, len(value), maxSettingLen)
	}
	var err error
	switch name {
	case settingProfile:
		s.profile = types.ProfileName(value)
	case settingRequestID:
		s.requestID = types.RequestID(value)
	case settingIdempotent:
		s.idempotent, err = parseBool(name, value)
	case settingRead:
		s.read, err = parseBool(name, value)
	case settingReadOnly:
		s.readOnly, err = parseBool(name, value)
	case settingTraceparent:
		s.traceText = value
		s.trace, err = parseTraceparent(value)
	default:
		return false, nil
	}
	return true, trace.Wrap(err)
}

// show returns the value of a setting for SHOW.
func (s *settings) show(name string) (string, bool) {
	switch name {
	case settingProfile:
		return string(s.profile), true
	case settingRequestID:
		return string(s.requestID), true
	case settingIdempotent:
		return formatBool(s.idempotent), true
	case settingRead:
		return formatBool(s.read), true
	case settingReadOnly:
		return formatBool(s.readOnly), true
	case settingTraceparent:
		return s.traceText, true
	}
	return "", false
}

// defaultOf returns the value to which RESET sets a setting.
func defaultOf(name string) string {
	switch name {
	case settingIdempotent, settingRead, settingReadOnly:
		return "off"
	}
	return ""
}

func parseBool(name, value string) (bool, error) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, nil
	case "off", "false", "no", "0":
		return false, nil
	}
	return false, trace.BadParameter("value %q of %s is neither on nor off", value, name)
}

func formatBool(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

// parseToken decodes a token, the floor that a caller carries over from another
// session. It returns nil for an empty text.
func parseToken(text string) (*types.LogPos, error) {
	if text == "" {
		return nil, nil
	}
	term, offset, ok := strings.Cut(text, ":")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	o, errOffset := strconv.ParseUint(offset, 10, 64)
	if !ok || errTerm != nil || errOffset != nil {
		return nil, trace.BadParameter("token %q is not of the form term:offset", text)
	}
	return &types.LogPos{Term: types.Term(t), Offset: o}, nil
}

// formatFloor returns the token for a floor, or the empty string before the
// first answer.
func formatFloor(floor types.LogPos) string {
	if floor == (types.LogPos{}) {
		return ""
	}
	return floor.String()
}

// Lengths of the ids in a traceparent, in hex digits.
const (
	traceIDDigits = 32
	spanIDDigits  = 16
)

// parseTraceparent decodes a W3C traceparent of version 00. An empty text means
// no trace.
func parseTraceparent(text string) (types.TraceContext, error) {
	var tc types.TraceContext
	if text == "" {
		return tc, nil
	}
	parts := strings.Split(text, "-")
	if len(parts) != 4 || parts[0] != "00" || len(parts[1]) != traceIDDigits ||
		len(parts[2]) != spanIDDigits || len(parts[3]) != 2 {
		return tc, trace.BadParameter("%q is not a traceparent", text)
	}
	flags, err := strconv.ParseUint(parts[3], 16, 8)
	if err == nil {
		_, err = hex.Decode(tc.TraceID[:], []byte(parts[1]))
	}
	if err == nil {
		_, err = hex.Decode(tc.SpanID[:], []byte(parts[2]))
	}
	if err != nil || tc.TraceID == [16]byte{} || tc.SpanID == [8]byte{} {
		return types.TraceContext{}, trace.BadParameter("%q is not a traceparent", text)
	}
	tc.Sampled = flags&1 == 1
	return tc, nil
}

// parseOptions decodes the options of a startup message, "-c name=value ..." or
// "--name=value ...".
func parseOptions(text string) (map[string]string, error) {
	options := make(map[string]string)
	words := strings.Fields(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		if word == "-c" && i+1 < len(words) {
			i++
			word = words[i]
		} else if rest, ok := strings.CutPrefix(word, "-c"); ok {
			word = rest
		} else if rest, ok := strings.CutPrefix(word, "--"); ok {
			word = strings.ReplaceAll(rest, "-", "_")
		} else {
			return nil, fmt.Errorf("startup option %q is neither -c name=value nor --name=value", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, fmt.Errorf("startup option %q has no value", word)
		}
		options[strings.ToLower(name)] = value
	}
	return options, nil
}
