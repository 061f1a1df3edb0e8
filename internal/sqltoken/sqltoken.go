// Package sqltoken is a lexer that splits SQL text into words, string literals and
// symbols. It does not check the grammar.
package sqltoken

import "strings"

// Kind is the kind of a token.
type Kind uint8

// Kinds of tokens.
const (
	Word    Kind = iota // a keyword, name, number or parameter
	Literal             // a string literal, without its quotes
	Symbol              // an operator or punctuation mark
)

// Token is one piece of a statement.
type Token struct {
	Kind Kind
	Text string
}

// IsSymbol reports whether the token is the symbol s.
func (t Token) IsSymbol(s string) bool { return t.Kind == Symbol && t.Text == s }

// IsWord reports whether the token is the word w, ignoring case. Callers pass w in
// lower case.
func (t Token) IsWord(w string) bool { return t.Kind == Word && strings.EqualFold(t.Text, w) }

// twoCharOperators are the operators that consist of two characters.
var twoCharOperators = []string{"<=", ">=", "<>", "!="}

// Scan splits text into tokens and drops comments. Any other character becomes a
// symbol, and so does the rest of the text from an unterminated quote on.
func Scan(text string) []Token {
	var tokens []Token
	for {
		text = skipBlank(text)
		if text == "" {
			return tokens
		}
		var t Token
		t, text = next(text)
		tokens = append(tokens, t)
	}
}

// FirstWord returns the first word of text in lower case, skipping comments and
// empty statements.
func FirstWord(text string) string {
	for {
		text = skipBlank(text)
		if !strings.HasPrefix(text, ";") {
			break
		}
		text = text[1:]
	}
	return strings.ToLower(text[:wordLen(text)])
}

// next returns the first token of text, which must not start with blanks, and the
// rest.
func next(text string) (Token, string) {
	switch text[0] {
	case '\'':
		return quoted(text, Literal)
	case '"':
		return quoted(text, Word)
	}
	if n := wordLen(text); n > 0 {
		return Token{Kind: Word, Text: text[:n]}, text[n:]
	}
	for _, p := range twoCharOperators {
		if strings.HasPrefix(text, p) {
			return Token{Kind: Symbol, Text: p}, text[len(p):]
		}
	}
	return Token{Kind: Symbol, Text: text[:1]}, text[1:]
}

// quoted reads a quoted string; a doubled quote means the quote character.
func quoted(text string, kind Kind) (Token, string) {
	quote := text[0]
	var out strings.Builder
	for i := 1; i < len(text); i++ {
		if text[i] != quote {
			out.WriteByte(text[i])
			continue
		}
		if i+1 < len(text) && text[i+1] == quote {
			out.WriteByte(quote)
			i++
			continue
		}
		return Token{Kind: kind, Text: out.String()}, text[i+1:]
	}
	return Token{Kind: Symbol, Text: text}, ""
}

// wordLen returns the length in bytes of the word that text starts with.
func wordLen(text string) int {
	n := 0
	for n < len(text) && isWordByte(text[n]) {
		n++
	}
	return n
}

func isWordByte(b byte) bool {
	return b == '_' || b == '.' || b == '$' || b >= 0x80 ||
		'0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}

// skipBlank removes leading white space and comments from text.
func skipBlank(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f\v")
		switch {
		case strings.HasPrefix(text, "--"):
			_, text, _ = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			text = skipBlockComment(text)
		default:
			return text
		}
	}
}

// skipBlockComment removes a leading block comment. Block comments nest.
func skipBlockComment(text string) string {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return text[i+1:]
		}
	}
	return ""
}
