package pg

import "strings"

// token is a word, a literal or a symbol of a statement.
type token struct {
	text   string
	symbol bool
}

// scan splits a statement into tokens, without comments and the final
// semicolon. What it can't split becomes a symbol of its own.
func scan(sql string) []token {
	var tokens []token
	for {
		sql = skipBlank(sql)
		if sql == "" {
			break
		}
		var t token
		t, sql = nextToken(sql)
		tokens = append(tokens, t)
	}
	for len(tokens) > 0 && tokens[len(tokens)-1] == (token{text: ";", symbol: true}) {
		tokens = tokens[:len(tokens)-1]
	}
	return tokens
}

func nextToken(sql string) (token, string) {
	if sql[0] == '\'' {
		return quotedToken(sql)
	}
	n := 0
	for n < len(sql) && isWordByte(sql[n]) {
		n++
	}
	if n == 0 {
		return token{text: sql[:1], symbol: true}, sql[1:]
	}
	return token{text: sql[:n]}, sql[n:]
}

// quotedToken reads a string literal.
func quotedToken(sql string) (token, string) {
	var text strings.Builder
	for i := 1; i < len(sql); i++ {
		if sql[i] != '\'' {
			text.WriteByte(sql[i])
			continue
		}
		if i+1 < len(sql) && sql[i+1] == '\'' {
			text.WriteByte('\'')
			i++
			continue
		}
		return token{text: text.String()}, sql[i+1:]
	}
	return token{text: sql, symbol: true}, ""
}

func isWordByte(b byte) bool {
	return b == '_' || b == '.' || b == '-' || b == ':' || b >= 0x80 ||
		'0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}

// skipBlank removes white space and comments from the front of a statement.
func skipBlank(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n\f\v")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			sql = skipBlockComment(sql)
		default:
			return sql
		}
	}
}

// skipBlockComment removes a block comment, which may hold others.
func skipBlockComment(sql string) string {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return sql[i+1:]
		}
	}
	return ""
}

// firstWord returns the first word of a statement in lower case.
func firstWord(sql string) string {
	sql = strings.TrimLeft(skipBlank(sql), "; \t\r\n")
	n := 0
	for n < len(sql) && isWordByte(sql[n]) {
		n++
	}
	return strings.ToLower(sql[:n])
}

// lowered returns the texts of tokens in lower case.
func lowered(tokens []token) []string {
	words := make([]string, len(tokens))
	for i, t := range tokens {
		words[i] = strings.ToLower(t.text)
	}
	return words
}
