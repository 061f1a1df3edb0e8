package pg

import (
	"slices"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/internal/sqltoken"
)

// statementKind is how the front end treats a statement.
type statementKind uint8

const (
	stmtOther      statementKind = iota // sent to a target unchanged
	stmtBegin                           // begins a transaction without an access mode
	stmtBeginRead                       // begins a read-only transaction
	stmtBeginWrite                      // begins a read-write transaction
	stmtLocal                           // SET, SHOW or RESET of a session setting
	stmtRefused                         // can't run on a shared connection
)

// statement is what the front end needs to know of a statement. A statement
// that matches none of the forms recognised here is stmtOther.
type statement struct {
	kind  statementKind
	verb  verb   // stmtLocal
	name  string // stmtLocal: name of the setting; stmtRefused: the unsupported command
	value string // stmtLocal: value of SET
}

// verb is the operation of a local statement on a setting.
type verb uint8

const (
	verbSet verb = iota
	verbShow
	verbReset
)

// maxMatchedSize is the size up to which statements are tokenized, in bytes.
// Longer ones have none of the recognised forms, except those of
// refusedCommands.
const maxMatchedSize = 1024

// ignoredSettings are settings that drivers set when they connect and that have
// no effect here. SET of them succeeds and is not sent to the target.
var ignoredSettings = []string{
	"application_name", "client_encoding", "client_min_messages", "datestyle",
	"extra_float_digits", "intervalstyle", "standard_conforming_strings", "timezone",
}

// refusedCommands are commands that change connection state beyond the
// transaction, or need the connection for longer than one statement.
var refusedCommands = []string{
	"copy", "deallocate", "discard", "listen", "load", "prepare", "unlisten",
}

// matchStatement recognises the statements that the front end does not just
// send to a target.
func matchStatement(sql string) statement {
	first := sqltoken.FirstWord(sql)
	if slices.Contains(refusedCommands, first) {
		return statement{kind: stmtRefused, name: strings.ToUpper(first)}
	}
	if len(sql) > maxMatchedSize {
		return statement{}
	}
	switch first {
	case "begin", "start":
		return matchBegin(tokenize(sql))
	case "set":
		return matchSet(tokenize(sql))
	case "show":
		return matchSettingName(tokenize(sql), verbShow)
	case "reset":
		return matchReset(tokenize(sql))
	}
	return statement{}
}

// matchBegin recognises BEGIN and START TRANSACTION.
func matchBegin(tokens []sqltoken.Token) statement {
	words := lowerTexts(tokens)
	kind := stmtBegin
	for i := 1; i+1 < len(words); i++ {
		switch {
		case words[i] == "read" && words[i+1] == "only":
			kind = stmtBeginRead
		case words[i] == "read" && words[i+1] == "write":
			kind = stmtBeginWrite
		}
	}
	if !slices.Contains(words, ";") {
		return statement{kind: kind}
	}
	return statement{}
}

// matchSet recognises SET of a session setting.
func matchSet(tokens []sqltoken.Token) statement {
	words := lowerTexts(tokens)
	if len(words) < 2 || words[1] == "local" || words[1] == "transaction" || words[1] == "constraints" {
		return statement{}
	}
	if slices.Equal(words[1:], []string{"session", "characteristics", "as", "transaction", "read", "only"}) {
		return statement{kind: stmtLocal, name: settingReadOnly, value: "on"}
	}
	if slices.Equal(words[1:], []string{"session", "characteristics", "as", "transaction", "read", "write"}) {
		return statement{kind: stmtLocal, name: settingReadOnly, value: "off"}
	}
	if words[1] == "session" {
		tokens, words = tokens[1:], words[1:]
	}
	if len(words) == 4 && (words[2] == "=" || words[2] == "to") && tokens[3].Kind != sqltoken.Symbol && isSessionSetting(words[1]) {
		return statement{kind: stmtLocal, name: words[1], value: tokens[3].Text}
	}
	if len(words) > 2 && slices.Contains(ignoredSettings, words[1]) && !slices.Contains(words, ";") {
		return statement{kind: stmtLocal, name: words[1]}
	}
	return statement{kind: stmtRefused, name: "SET of a setting of the target"}
}

// matchReset recognises RESET of a session setting.
func matchReset(tokens []sqltoken.Token) statement {
	st := matchSettingName(tokens, verbReset)
	if st.kind != stmtLocal {
		return statement{kind: stmtRefused, name: "RESET of a setting of the target"}
	}
	return st
}

// matchSettingName recognises SHOW and RESET with the name of a session
// setting.
func matchSettingName(tokens []sqltoken.Token, v verb) statement {
	words := lowerTexts(tokens)
	if len(words) == 2 && isSessionSetting(words[1]) {
		return statement{kind: stmtLocal, verb: v, name: words[1]}
	}
	return statement{}
}

// isSessionSetting reports whether the front end keeps the setting itself.
func isSessionSetting(name string) bool {
	return name == settingFloor || name == settingReadOnly || isPaddleSetting(name)
}

func isPaddleSetting(name string) bool {
	_, ok := (&settings{}).show(name)
	return ok
}

// withReadOnly adds the access mode READ ONLY to a statement that begins a
// transaction.
func withReadOnly(begin string) string {
	return strings.Join(append(lowerTexts(tokenize(begin)), "read", "only"), " ")
}

// tokenize splits a statement into tokens, without the semicolons at its end.
func tokenize(sql string) []sqltoken.Token {
	tokens := sqltoken.Scan(sql)
	for len(tokens) > 0 && tokens[len(tokens)-1].IsSymbol(";") {
		tokens = tokens[:len(tokens)-1]
	}
	return tokens
}

// lowerTexts returns the texts of tokens in lower case. A literal keeps its
// opening quote so that it never matches a keyword.
func lowerTexts(tokens []sqltoken.Token) []string {
	words := make([]string, len(tokens))
	for i, t := range tokens {
		words[i] = strings.ToLower(t.Text)
		if t.Kind == sqltoken.Literal {
			words[i] = "'" + words[i]
		}
	}
	return words
}
