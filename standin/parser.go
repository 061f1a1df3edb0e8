package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/sqltoken"
)

// parser parses one statement.
type parser struct {
	tokens []sqltoken.Token
	pos    int
}

// parseAll parses statements that are separated by semicolons.
func parseAll(sql string) ([]statement, *sqlError) {
	var statements []statement
	var part []sqltoken.Token
	for _, t := range append(sqltoken.Scan(sql), sqltoken.Token{Kind: sqltoken.Symbol, Text: ";"}) {
		if !t.IsSymbol(";") {
			part = append(part, t)
			continue
		}
		if len(part) == 0 {
			continue
		}
		st, err := parse(part)
		if err != nil {
			return nil, err
		}
		statements = append(statements, st)
		part = nil
	}
	return statements, nil
}

func parse(tokens []sqltoken.Token) (statement, *sqlError) {
	p := &parser{tokens: tokens}
	st, err := p.parseStatement()
	if err != nil {
		return nil, err
	}
	if p.pos < len(p.tokens) {
		return nil, p.unexpected()
	}
	return st, nil
}

func (p *parser) parseStatement() (statement, *sqlError) {
	first := p.nextWord()
	switch strings.ToLower(first) {
	case "create":
		return p.parseCreate()
	case "insert":
		return p.parseInsert()
	case "select":
		return p.parseSelect()
	case "update":
		return p.parseUpdate()
	case "delete":
		return p.parseDelete()
	case "begin", "start":
		return p.parseBegin()
	case "commit", "end":
		return commitStatement{}, nil
	case "rollback", "abort":
		return rollbackStatement{}, nil
	case "set":
		return p.parseSet()
	case "show":
		return showStatement{name: strings.ToLower(p.nextWord())}, nil
	case "paddle":
		return p.parsePaddle()
	}
	p.pos = 0
	return nil, p.unexpected()
}

// peek returns the next token, or an empty symbol at the end of the input.
func (p *parser) peek() sqltoken.Token {
	if p.pos >= len(p.tokens) {
		return sqltoken.Token{Kind: sqltoken.Symbol}
	}
	return p.tokens[p.pos]
}

// nextWord consumes and returns the next token if it is a word; otherwise it
// returns an empty string.
func (p *parser) nextWord() string {
	t := p.peek()
	if t.Kind != sqltoken.Word {
		return ""
	}
	p.pos++
	return t.Text
}

// acceptWords consumes the given words if they come next.
func (p *parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if p.pos+i >= len(p.tokens) || !p.tokens[p.pos+i].IsWord(w) {
			return false
		}
	}
	p.pos += len(words)
	return true
}

// acceptSymbol consumes the symbol s if it comes next.
func (p *parser) acceptSymbol(s string) bool {
	if !p.peek().IsSymbol(s) {
		return false
	}
	p.pos++
	return true
}

func (p *parser) unexpected() *sqlError {
	if p.pos >= len(p.tokens) {
		return errorf(codeSyntax, "syntax error at end of input")
	}
	return errorf(codeSyntax, "syntax error at or near %q", p.peek().Text)
}

// parseName parses a table or column name.
func (p *parser) parseName() (string, *sqlError) {
	t := p.peek()
	if t.Kind != sqltoken.Word || strings.HasPrefix(t.Text, "$") {
		return "", p.unexpected()
	}
	p.pos++
	return strings.ToLower(t.Text), nil
}

// parseNames parses a list of names in parentheses.
func (p *parser) parseNames() ([]string, *sqlError) {
	if !p.acceptSymbol("(") {
		return nil, p.unexpected()
	}
	var names []string
	for {
		n, err := p.parseName()
		if err != nil {
			return nil, err
		}
		names = append(names, n)
		if p.acceptSymbol(")") {
			return names, nil
		}
		if !p.acceptSymbol(",") {
			return nil, p.unexpected()
		}
	}
}

// parseExpression parses a constant or a parameter.
func (p *parser) parseExpression() (expression, *sqlError) {
	sign := ""
	if p.acceptSymbol("-") {
		sign = "-"
	}
	t := p.peek()
	p.pos++
	switch {
	case t.Kind == sqltoken.Literal && sign == "":
		return expression{value: textValue(t.Text), kind: kindText}, p.skipCast()
	case t.Kind == sqltoken.Word:
		return p.parseWordExpression(sign, t.Text)
	}
	p.pos--
	return expression{}, p.unexpected()
}

func (p *parser) parseWordExpression(sign, word string) (expression, *sqlError) {
	if number, ok := strings.CutPrefix(word, "$"); ok {
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 || sign != "" {
			return expression{}, p.unexpected()
		}
		return expression{parameter: n}, p.skipCast()
	}
	switch strings.ToLower(word) {
	case "null":
		return expression{}, nil
	case "true", "false":
		v, err := parseBool(word)
		return expression{value: v, kind: kindBool}, err
	}
	if _, err := strconv.ParseInt(sign+word, 10, 64); err == nil {
		return expression{value: textValue(sign + word), kind: kindInt}, p.skipCast()
	}
	if _, err := strconv.ParseFloat(sign+word, 64); err == nil {
		return expression{value: textValue(sign + word), kind: kindFloat}, p.skipCast()
	}
	p.pos--
	return expression{}, p.unexpected()
}

// skipCast consumes a cast such as ::text, which has no effect.
func (p *parser) skipCast() *sqlError {
	if !p.acceptSymbol(":") {
		return nil
	}
	if !p.acceptSymbol(":") || p.nextWord() == "" {
		return p.unexpected()
	}
	return nil
}

// parseNumber parses an unsigned number.
func (p *parser) parseNumber() (uint64, *sqlError) {
	n, err := strconv.ParseUint(p.peek().Text, 10, 64)
	if err != nil {
		return 0, p.unexpected()
	}
	p.pos++
	return n, nil
}

// parseLiteral parses a string literal.
func (p *parser) parseLiteral() (string, *sqlError) {
	t := p.peek()
	if t.Kind != sqltoken.Literal {
		return "", p.unexpected()
	}
	p.pos++
	return t.Text, nil
}

func (p *parser) parseBegin() (statement, *sqlError) {
	st := beginStatement{}
	for p.pos < len(p.tokens) {
		switch {
		case p.acceptWords("read", "only"):
			st.readOnly = true
		case p.acceptWords("read", "write"):
			st.readOnly = false
		case p.acceptWords("transaction"), p.acceptWords("work"), p.acceptSymbol(","), p.acceptWords("not", "deferrable"),
			p.acceptWords("deferrable"), p.acceptWords("isolation", "level", "serializable"),
			p.acceptWords("isolation", "level", "repeatable", "read"),
			p.acceptWords("isolation", "level", "read", "committed"),
			p.acceptWords("isolation", "level", "read", "uncommitted"):
		default:
			return nil, p.unexpected()
		}
	}
	return st, nil
}

func (p *parser) parseSet() (statement, *sqlError) {
	st := setStatement{transactionReadOnly: p.acceptWords("transaction", "read", "only")}
	p.pos = len(p.tokens)
	return st, nil
}

// parsePaddle parses the commands of control hosts and of other members.
func (p *parser) parsePaddle() (statement, *sqlError) {
	switch {
	case p.acceptWords("promote", "term"):
		n, err := p.parseNumber()
		return promoteStatement{term: n}, err
	case p.acceptWords("follow"):
		return p.parseFollow()
	case p.acceptWords("lag"):
		return p.parseLag()
	case p.acceptWords("stream", "term"):
		return p.parseStream()
	}
	return nil, p.unexpected()
}

func (p *parser) parseFollow() (statement, *sqlError) {
	st := followStatement{}
	var err *sqlError
	if st.name, err = p.parseLiteral(); err != nil {
		return nil, err
	}
	if st.address, err = p.parseLiteral(); err != nil {
		return nil, err
	}
	if !p.acceptWords("term") {
		return nil, p.unexpected()
	}
	if st.term, err = p.parseNumber(); err != nil {
		return nil, err
	}
	if !p.acceptWords("start") {
		return nil, p.unexpected()
	}
	st.start, err = p.parseNumber()
	return st, err
}

func (p *parser) parseLag() (statement, *sqlError) {
	s, err := p.parseLiteral()
	if err != nil {
		return nil, err
	}
	lag, parseErr := time.ParseDuration(s)
	if parseErr != nil || lag < 0 {
		return nil, errorf(codeInvalidText, "invalid replication delay %q: want a duration of at least 0s", s)
	}
	return lagStatement{lag: lag}, nil
}

func (p *parser) parseStream() (statement, *sqlError) {
	st := streamStatement{}
	var err *sqlError
	if st.term, err = p.parseNumber(); err != nil {
		return nil, err
	}
	if !p.acceptWords("runs") {
		return nil, p.unexpected()
	}
	s, err := p.parseLiteral()
	if err != nil {
		return nil, err
	}
	st.termEnds, err = parseTermEnds(s)
	return st, err
}
