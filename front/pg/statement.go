package pg

import (
	"slices"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/internal/sqltoken"
)

// statementKind says what the front does with a statement.
type statementKind uint8

const (
	stmtOther      statementKind = iota // sent to a target as it is
	stmtBegin                           // begins a transaction, of which it says no more
	stmtBeginRead                       // begins a transaction that only reads
	stmtBeginWrite                      // begins a transaction that may write
	stmtLocal                           // SET, SHOW or RESET of a session setting
	stmtRefused                         // can't be run on a shared connection
)

// statement is what the front recognises of a statement. Everything that is
// not one of the few exact forms is stmtOther.
type statement struct {
	kind  statementKind
	verb  verb   // stmtLocal
	name  string // stmtLocal: the setting; stmtRefused: what is refused
	value string // stmtLocal: the value of SET
}

// verb is what a local statement does with a setting.
type verb uint8

const (
	verbSet verb = iota
	verbShow
	verbReset
)

// maxMatched bounds the statements that the matcher looks at whole, in bytes.
// Longer ones are none of its forms.
const maxMatched = 1024

// ignoredSettings are settings that drivers set when they connect and that
// change nothing here. Setting them is acknowledged.
var ignoredSettings = []string{
	"application_name", "client_encoding", "client_min_messages", "datestyle",
	"extra_float_digits", "intervalstyle", "standard_conforming_strings", "timezone",
}

// refusedCommands change the state of a connection beyond the transaction, or
// need the connection for longer than a statement.
var refusedCommands = []string{
	"copy", "deallocate", "discard", "listen", "load", "prepare", "unlisten",
}

// matchStatement recognises the statements that the front treats on its own.
func matchStatement(sql string) statement {
	first := sqltoken.FirstWord(sql)
	if slices.Contains(refusedCommands, first) {
		return statement{kind: stmtRefused, name: strings.ToUpper(first)}
	}
	if len(sql) > maxMatched {
		return statement{}
	}
	switch first {
	case "begin", "start":
		return matchBegin(scan(sql))
	case "set":
		return matchSet(scan(sql))
	case "show":
		return matchNamed(scan(sql), verbShow)
	case "reset":
		return matchReset(scan(sql))
	}
	return statement{}
}

// matchBegin recognises BEGIN and START TRANSACTION.
func matchBegin(tokens []sqltoken.Token) statement {
	words := lowered(tokens)
	mode := stmtBegin
	for i := 1; i+1 < len(words); i++ {
		switch {
		case words[i] == "read" && words[i+1] == "only":
			mode = stmtBeginRead
		case words[i] == "read" && words[i+1] == "write":
			mode = stmtBeginWrite
		}
	}
	if !slices.Contains(words, ";") {
		return statement{kind: mode}
	}
	return statement{}
}

// matchSet recognises SET of a setting of the session.
func matchSet(tokens []sqltoken.Token) statement {
	words := lowered(tokens)
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
	if len(words) == 4 && (words[2] == "=" || words[2] == "to") && tokens[3].Kind != sqltoken.Symbol && knownSetting(words[1]) {
		return statement{kind: stmtLocal, name: words[1], value: tokens[3].Text}
	}
	if len(words) > 2 && slices.Contains(ignoredSettings, words[1]) && !slices.Contains(words, ";") {
		return statement{kind: stmtLocal, name: words[1]}
	}
	return statement{kind: stmtRefused, name: "SET of a setting of the target"}
}

// matchReset recognises RESET of a setting of the session.
func matchReset(tokens []sqltoken.Token) statement {
	st := matchNamed(tokens, verbReset)
	if st.kind != stmtLocal {
		return statement{kind: stmtRefused, name: "RESET of a setting of the target"}
	}
	return st
}

// matchNamed recognises a verb with the name of a setting.
func matchNamed(tokens []sqltoken.Token, v verb) statement {
	words := lowered(tokens)
	if len(words) == 2 && knownSetting(words[1]) {
		return statement{kind: stmtLocal, verb: v, name: words[1]}
	}
	return statement{}
}

// knownSetting reports whether the front itself keeps the setting.
func knownSetting(name string) bool {
	return name == settingFloor || name == settingReadOnly || isPaddleSetting(name)
}

func isPaddleSetting(name string) bool {
	_, ok := (&settings{}).show(name)
	return ok
}

// withReadOnly returns a statement that begins a transaction with the access
// mode added.
func withReadOnly(begin string) string {
	return strings.Join(append(lowered(scan(begin)), "read", "only"), " ")
}

// scan splits a statement and drops the semicolons at its end.
func scan(sql string) []sqltoken.Token {
	tokens := sqltoken.Scan(sql)
	for len(tokens) > 0 && tokens[len(tokens)-1].IsSymbol(";") {
		tokens = tokens[:len(tokens)-1]
	}
	return tokens
}

// lowered returns the texts of tokens in lower case. A literal is never taken
// for a word: it keeps its opening quote.
func lowered(tokens []sqltoken.Token) []string {
	words := make([]string, len(tokens))
	for i, t := range tokens {
		words[i] = strings.ToLower(t.Text)
		if t.Kind == sqltoken.Literal {
			words[i] = "'" + words[i]
		}
	}
	return words
}
