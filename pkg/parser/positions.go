package parser

import "github.com/goccy/go-yaml/ast"

// Position is the place of a value in a file. Line and column count from 1.
type Position struct{ Line, Column int }

// Positions returns the positions of all values of a document by their paths, such as
// services[0].routes[1].path-prefix. It is empty for a text that is not YAML.
func Positions(data []byte) map[string]Position {
	r := &reader{}
	positions := map[string]Position{}
	if root, ok := r.root(data); ok {
		r.addPositions(root, positions)
	}
	return positions
}

func (r *reader) addPositions(n node, positions map[string]Position) {
	line, column := n.position()
	positions[n.path] = Position{Line: line, Column: column}
	switch n.value.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		for _, child := range r.mapping(n).fields {
			r.addPositions(child, positions)
		}
	case *ast.SequenceNode:
		for _, item := range r.list(n) {
			r.addPositions(item, positions)
		}
	}
}
