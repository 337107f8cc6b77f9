package parser

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Problem is one violated rule with its position in the file. Line and column count
// from 1.
type Problem struct {
	File   string
	Line   int
	Column int
	// Path is the path of the value, such as services[0].routes[1]. It is empty if the rule
	// concerns the whole file.
	Path string
	Rule string
}

func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Rule)
}

// Problems holds every violated rule of one file, in file order.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// reader decodes the nodes of one file and collects their problems.
type reader struct {
	file     string
	problems Problems
}

// addProblem records a problem at the position of n.
func (r *reader) addProblem(n node, format string, args ...any) {
	p := Problem{File: r.file, Path: n.path, Rule: fmt.Sprintf(format, args...)}
	p.Line, p.Column = n.position()
	r.problems = append(r.problems, p)
}

// err returns the problems in file order, or nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.problems
}

// node is a YAML value with its path. For an absent field, value is nil and key is the
// key at which to report the problem.
type node struct {
	value ast.Node
	key   ast.Node
	path  string
}

func (n node) present() bool { return n.value != nil }

// position returns the line and the column of a value, or those of the beginning of the file
// if it has none.
func (n node) position() (line, column int) {
	if tk := n.token(); tk != nil && tk.Position != nil {
		return tk.Position.Line, tk.Position.Column
	}
	return 1, 1
}

func (n node) token() *token.Token {
	if n.value != nil {
		if m, ok := n.value.(*ast.MappingNode); ok && len(m.Values) > 0 {
			return m.Values[0].Key.GetToken()
		}
		return n.value.GetToken()
	}
	if n.key != nil {
		return n.key.GetToken()
	}
	return nil
}

// mapping is a decoded YAML mapping with its keys in file order.
type mapping struct {
	node   node
	fields map[string]node
	keys   []string
}

// mapping decodes a mapping. It rejects duplicate fields, and fields that are not in
// known unless known is nil.
func (r *reader) mapping(n node, known ...string) (m mapping) {
	m = mapping{node: n, fields: map[string]node{}}
	var values []*ast.MappingValueNode
	switch v := n.value.(type) {
	case *ast.MappingNode:
		values = v.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{v}
	default:
		r.addProblem(n, "%s must be a mapping", cmp.Or(n.path, "the document"))
		return m
	}
	for _, mv := range values {
		key := mv.Key.GetToken().Value
		child := node{value: mv.Value, key: mv.Key, path: strings.TrimPrefix(n.path+"."+key, ".")}
		if _, duplicate := m.fields[key]; duplicate {
			r.addProblem(node{value: mv.Key}, "field %q occurs twice", child.path)
			continue
		}
		if known != nil && !slices.Contains(known, key) {
			r.addProblem(node{value: mv.Key}, "unknown field %q; known fields are %s", child.path, strings.Join(known, ", "))
			continue
		}
		m.fields[key] = child
		m.keys = append(m.keys, key)
	}
	return m
}

// field returns the named field, or an absent node with the position of the mapping.
func (m mapping) field(name string) node {
	if n, ok := m.fields[name]; ok {
		return n
	}
	return node{key: firstKey(m.node), path: strings.TrimPrefix(m.node.path+"."+name, ".")}
}

// firstKey returns the key that marks the position of a mapping.
func firstKey(n node) ast.Node {
	switch v := n.value.(type) {
	case *ast.MappingNode:
		if len(v.Values) > 0 {
			return v.Values[0].Key
		}
	case *ast.MappingValueNode:
		return v.Key
	}
	return n.key
}

// list decodes a sequence. An absent one is empty.
func (r *reader) list(n node) (items []node) {
	if !n.present() {
		return nil
	}
	seq, ok := n.value.(*ast.SequenceNode)
	if !ok {
		r.addProblem(n, "%s must be a list", n.path)
		return nil
	}
	for i, v := range seq.Values {
		items = append(items, node{value: v, path: fmt.Sprintf("%s[%d]", n.path, i)})
	}
	return items
}

// text decodes a required string.
func (r *reader) text(n node) string {
	if !n.present() {
		r.addProblem(n, "%s is missing", n.path)
		return ""
	}
	s, ok := n.value.(*ast.StringNode)
	if !ok {
		r.addProblem(n, "%s must be a string", n.path)
		return ""
	}
	if s.Value == "" {
		r.addProblem(n, "%s must not be empty", n.path)
	}
	return s.Value
}

// name decodes a required kebab-case name.
func (r *reader) name(n node) string {
	s := r.text(n)
	if s != "" && !isKebab(s) {
		r.addProblem(n, "%s %q must be in kebab case: lowercase letters, digits and single hyphens", n.path, s)
	}
	return s
}

// isKebab reports whether s is in kebab case.
func isKebab(s string) bool {
	for _, part := range strings.Split(s, "-") {
		if part == "" {
			return false
		}
		for _, c := range part {
			if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
				return false
			}
		}
	}
	return true
}

// integer decodes an integer between low and high. An absent one is def.
func (r *reader) integer(n node, low, high, def int) int {
	if !n.present() {
		return def
	}
	literal, ok := n.value.(*ast.IntegerNode)
	if !ok {
		r.addProblem(n, "%s must be an integer", n.path)
		return def
	}
	v, err := strconv.Atoi(literal.GetToken().Value)
	if err != nil || v < low || v > high {
		r.addProblem(n, "%s is %s but must be between %d and %d", n.path, literal.GetToken().Value, low, high)
		return def
	}
	return v
}

// number decodes a number between low and high. An absent one is def.
func (r *reader) number(n node, low, high, def float64) float64 {
	if !n.present() {
		return def
	}
	switch n.value.(type) {
	case *ast.FloatNode, *ast.IntegerNode:
	default:
		r.addProblem(n, "%s must be a number", n.path)
		return def
	}
	v, err := strconv.ParseFloat(n.value.GetToken().Value, 64)
	if err != nil || v < low || v > high {
		r.addProblem(n, "%s is %s but must be between %g and %g", n.path, n.value.GetToken().Value, low, high)
		return def
	}
	return v
}

// boolean decodes a boolean. An absent one is def.
func (r *reader) boolean(n node, def bool) bool {
	if !n.present() {
		return def
	}
	b, ok := n.value.(*ast.BoolNode)
	if !ok {
		r.addProblem(n, "%s must be true or false", n.path)
		return def
	}
	return b.Value
}

// duration decodes a required positive duration.
func (r *reader) duration(n node) time.Duration {
	s := r.text(n)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.addProblem(n, "%s %q is not a duration such as 250ms or 2s", n.path, s)
		return 0
	}
	if d <= 0 {
		r.addProblem(n, "%s %q must be positive", n.path, s)
	}
	return d
}

// timestamp decodes a required RFC 3339 timestamp.
func (r *reader) timestamp(n node) time.Time {
	s := r.text(n)
	if s == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		r.addProblem(n, "%s %q is not an RFC 3339 time such as 2026-12-04T12:00:00Z", n.path, s)
	}
	return t
}

// address decodes a required IP address with a port.
func (r *reader) address(n node) netip.AddrPort {
	s := r.text(n)
	if s == "" {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 {
		r.addProblem(n, "%s %q is not an IP address with a port such as 10.0.0.1:8080", n.path, s)
	}
	return addr
}
