package plugin

import "github.com/cockroachdb/errors"

// order sorts definitions so that the providers of each needed port come before the plug-in that
// needs it. A port that nobody provides, or a cycle, is an error.
func order(definitions []Definition) ([]Definition, error) {
	o := orderer{providers: make(map[Port][]Definition), state: make(map[ID]visit)}
	for _, d := range definitions {
		for _, p := range d.Provides {
			o.providers[p] = append(o.providers[p], d)
		}
	}
	for _, d := range definitions {
		if err := o.visit(d); err != nil {
			return nil, err
		}
	}
	return o.ordered, nil
}

type visit int

const (
	visitOpen visit = iota + 1
	visitDone
)

type orderer struct {
	providers map[Port][]Definition
	state     map[ID]visit
	ordered   []Definition
}

func (o *orderer) visit(d Definition) error {
	switch o.state[d.ID] {
	case visitDone:
		return nil
	case visitOpen:
		return errors.Newf("%s: plug-ins need each other in a cycle", d.ID)
	}
	o.state[d.ID] = visitOpen
	for _, need := range d.Needs {
		if len(o.providers[need]) == 0 {
			return errors.Newf("%s: no linked plug-in provides port %s", d.ID, need)
		}
		for _, provider := range o.providers[need] {
			if err := o.visit(provider); err != nil {
				return err
			}
		}
	}
	o.state[d.ID] = visitDone
	o.ordered = append(o.ordered, d)
	return nil
}
