package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/sqltoken"
)

// parser reads one statement.
type parser struct {
	tokens []sqltoken.Token
	pos    int
}

// parseAll returns the statements of a text that semicolons separate.
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
	st, err := p.statement()
	if err != nil {
		return nil, err
	}
	if p.pos < len(p.tokens) {
		return nil, p.unexpected()
	}
	return st, nil
}

func (p *parser) statement() (statement, *sqlError) {
	first := p.word()
	switch strings.ToLower(first) {
	case "create":
		return p.create()
	case "insert":
		return p.insert()
	case "select":
		return p.selection()
	case "update":
		return p.update()
	case "delete":
		return p.remove()
	case "begin", "start":
		return p.begin()
	case "commit", "end":
		return commitStatement{}, nil
	case "rollback", "abort":
		return rollbackStatement{}, nil
	case "set":
		return p.set()
	case "show":
		return showStatement{name: strings.ToLower(p.word())}, nil
	case "paddle":
		return p.paddle()
	}
	p.pos = 0
	return nil, p.unexpected()
}

// peek returns the next token; at the end an empty symbol.
func (p *parser) peek() sqltoken.Token {
	if p.pos >= len(p.tokens) {
		return sqltoken.Token{Kind: sqltoken.Symbol}
	}
	return p.tokens[p.pos]
}

// word takes the next token if it is a word.
func (p *parser) word() string {
	t := p.peek()
	if t.Kind != sqltoken.Word {
		return ""
	}
	p.pos++
	return t.Text
}

// accept takes the given words if they come next.
func (p *parser) accept(words ...string) bool {
	for i, w := range words {
		if p.pos+i >= len(p.tokens) || !p.tokens[p.pos+i].IsWord(w) {
			return false
		}
	}
	p.pos += len(words)
	return true
}

// symbol takes the symbol s if it comes next.
func (p *parser) symbol(s string) bool {
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

// name takes a name.
func (p *parser) name() (string, *sqlError) {
	t := p.peek()
	if t.Kind != sqltoken.Word || strings.HasPrefix(t.Text, "$") {
		return "", p.unexpected()
	}
	p.pos++
	return strings.ToLower(t.Text), nil
}

// names takes a list of names in parentheses.
func (p *parser) names() ([]string, *sqlError) {
	if !p.symbol("(") {
		return nil, p.unexpected()
	}
	var names []string
	for {
		n, err := p.name()
		if err != nil {
			return nil, err
		}
		names = append(names, n)
		if p.symbol(")") {
			return names, nil
		}
		if !p.symbol(",") {
			return nil, p.unexpected()
		}
	}
}

// expression takes a constant or a parameter.
func (p *parser) expression() (expression, *sqlError) {
	sign := ""
	if p.symbol("-") {
		sign = "-"
	}
	t := p.peek()
	p.pos++
	switch {
	case t.Kind == sqltoken.Literal && sign == "":
		return expression{value: text(t.Text), kind: kindText}, p.skipCast()
	case t.Kind == sqltoken.Word:
		return p.wordExpression(sign, t.Text)
	}
	p.pos--
	return expression{}, p.unexpected()
}

func (p *parser) wordExpression(sign, word string) (expression, *sqlError) {
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
		v, err := checkBool(word)
		return expression{value: v, kind: kindBool}, err
	}
	if _, err := strconv.ParseInt(sign+word, 10, 64); err == nil {
		return expression{value: text(sign + word), kind: kindInt}, p.skipCast()
	}
	if _, err := strconv.ParseFloat(sign+word, 64); err == nil {
		return expression{value: text(sign + word), kind: kindFloat}, p.skipCast()
	}
	p.pos--
	return expression{}, p.unexpected()
}

// skipCast takes a cast such as ::text, which changes nothing here.
func (p *parser) skipCast() *sqlError {
	if !p.symbol(":") {
		return nil
	}
	if !p.symbol(":") || p.word() == "" {
		return p.unexpected()
	}
	return nil
}

// number takes an unsigned number.
func (p *parser) number() (uint64, *sqlError) {
	n, err := strconv.ParseUint(p.peek().Text, 10, 64)
	if err != nil {
		return 0, p.unexpected()
	}
	p.pos++
	return n, nil
}

// literal takes a string literal.
func (p *parser) literal() (string, *sqlError) {
	t := p.peek()
	if t.Kind != sqltoken.Literal {
		return "", p.unexpected()
	}
	p.pos++
	return t.Text, nil
}

func (p *parser) begin() (statement, *sqlError) {
	st := beginStatement{}
	for p.pos < len(p.tokens) {
		switch {
		case p.accept("read", "only"):
			st.readOnly = true
		case p.accept("read", "write"):
			st.readOnly = false
		case p.accept("transaction"), p.accept("work"), p.symbol(","), p.accept("not", "deferrable"),
			p.accept("deferrable"), p.accept("isolation", "level", "serializable"),
			p.accept("isolation", "level", "repeatable", "read"),
			p.accept("isolation", "level", "read", "committed"),
			p.accept("isolation", "level", "read", "uncommitted"):
		default:
			return nil, p.unexpected()
		}
	}
	return st, nil
}

func (p *parser) set() (statement, *sqlError) {
	st := setStatement{transactionReadOnly: p.accept("transaction", "read", "only")}
	p.pos = len(p.tokens)
	return st, nil
}

// paddle reads the orders of control and of other members.
func (p *parser) paddle() (statement, *sqlError) {
	switch {
	case p.accept("promote", "term"):
		n, err := p.number()
		return promoteStatement{term: n}, err
	case p.accept("follow"):
		return p.follow()
	case p.accept("lag"):
		return p.lag()
	case p.accept("stream", "term"):
		return p.stream()
	}
	return nil, p.unexpected()
}

func (p *parser) follow() (statement, *sqlError) {
	st := followStatement{}
	var err *sqlError
	if st.name, err = p.literal(); err != nil {
		return nil, err
	}
	if st.address, err = p.literal(); err != nil {
		return nil, err
	}
	if !p.accept("term") {
		return nil, p.unexpected()
	}
	if st.term, err = p.number(); err != nil {
		return nil, err
	}
	if !p.accept("start") {
		return nil, p.unexpected()
	}
	st.start, err = p.number()
	return st, err
}

func (p *parser) lag() (statement, *sqlError) {
	s, err := p.literal()
	if err != nil {
		return nil, err
	}
	lag, parseErr := time.ParseDuration(s)
	if parseErr != nil || lag < 0 {
		return nil, errorf(codeInvalidText, "%q is not a lag", s)
	}
	return lagStatement{lag: lag}, nil
}

func (p *parser) stream() (statement, *sqlError) {
	st := streamStatement{}
	var err *sqlError
	if st.term, err = p.number(); err != nil {
		return nil, err
	}
	if !p.accept("runs") {
		return nil, p.unexpected()
	}
	s, err := p.literal()
	if err != nil {
		return nil, err
	}
	st.runs, err = parseRuns(s)
	return st, err
}
