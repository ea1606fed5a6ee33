package plugin

import "github.com/cockroachdb/errors"

// startOrder sorts definitions topologically: the providers of each needed port come before the
// plug-ins that need it. A needed port without a provider, or a cycle, is an error.
func startOrder(definitions []Definition) ([]Definition, error) {
	s := sorter{providers: make(map[Port][]Definition), state: make(map[ID]visit)}
	for _, d := range definitions {
		for _, p := range d.Provides {
			s.providers[p] = append(s.providers[p], d)
		}
	}
	for _, d := range definitions {
		if err := s.visit(d); err != nil {
			return nil, err
		}
	}
	return s.ordered, nil
}

// visit is the state of a definition in the depth-first search; 0 is not yet visited.
type visit int

const (
	visiting visit = iota + 1
	visited
)

// sorter holds the state of the topological sort.
type sorter struct {
	providers map[Port][]Definition
	state     map[ID]visit
	ordered   []Definition
}

// visit appends d to the order after everything that it needs.
func (s *sorter) visit(d Definition) error {
	switch s.state[d.ID] {
	case visited:
		return nil
	case visiting:
		return errors.Newf("%s: plug-ins need each other in a cycle", d.ID)
	}
	s.state[d.ID] = visiting
	for _, need := range d.Needs {
		if len(s.providers[need]) == 0 {
			return errors.Newf("%s: no linked plug-in provides port %s", d.ID, need)
		}
		for _, provider := range s.providers[need] {
			if err := s.visit(provider); err != nil {
				return err
			}
		}
	}
	s.state[d.ID] = visited
	s.ordered = append(s.ordered, d)
	return nil
}
