package text

import (
	"strings"

	"catkinvalve/internal/jsonc"
)

func dependencyPath(service, dependency int) string {
	return jsonc.ElementPath(servicePath(service, "depends_on"), dependency)
}

// serviceIndex maps each name to the index of the first service with that name.
// It keeps the checks linear in the size of the text.
func serviceIndex(cfg *Config) map[string]int {
	index := make(map[string]int, len(cfg.Services))
	for i, s := range cfg.Services {
		if _, ok := index[s.Name]; !ok {
			index[s.Name] = i
		}
	}
	return index
}

func checkKnownDependencies(cfg *Config, doc *jsonc.Document) {
	index := serviceIndex(cfg)
	for i, s := range cfg.Services {
		for j, name := range s.DependsOn {
			if _, ok := index[name]; !ok {
				doc.Report(dependencyPath(i, j), "correct the name or add the service", "service %q depends on the unknown service %q", s.Name, name)
			}
		}
	}
}

func checkDependenciesUnique(cfg *Config, doc *jsonc.Document) {
	for i, s := range cfg.Services {
		seen := map[string]bool{}
		for j, name := range s.DependsOn {
			if seen[name] {
				doc.Report(dependencyPath(i, j), "remove one of them", "service %q depends on %q twice", s.Name, name)
			}
			seen[name] = true
		}
	}
}

// cycleSearch is a depth-first search over the dependencies.
type cycleSearch struct {
	cfg     *Config
	doc     *jsonc.Document
	index   map[string]int
	visited []bool
	stack   []int
	// stackIndex maps each service on the stack to its index there.
	stackIndex map[int]int
}

// checkDependencyCycles reports each dependency that closes a cycle.
func checkDependencyCycles(cfg *Config, doc *jsonc.Document) {
	search := &cycleSearch{cfg: cfg, doc: doc, index: serviceIndex(cfg), visited: make([]bool, len(cfg.Services)), stackIndex: map[int]int{}}
	for i := range cfg.Services {
		search.visit(i)
	}
}

// visit searches from service i, which is not on the stack, and reports each
// dependency on a service of the stack.
func (c *cycleSearch) visit(i int) {
	if c.visited[i] {
		return
	}
	c.stackIndex[i] = len(c.stack)
	c.stack = append(c.stack, i)
	for j, name := range c.cfg.Services[i].DependsOn {
		next, ok := c.index[name]
		if !ok {
			continue
		}
		if start, ok := c.stackIndex[next]; ok {
			c.report(i, j, c.stack[start:])
			continue
		}
		c.visit(next)
	}
	c.stack = c.stack[:len(c.stack)-1]
	delete(c.stackIndex, i)
	c.visited[i] = true
}

// report reports the dependency that closes a cycle. cycle holds the indexes of the
// services of the cycle.
func (c *cycleSearch) report(service, dependency int, cycle []int) {
	const maxShown = 10 // services of a cycle that are shown in a message
	var names []string
	for _, i := range cycle[:min(maxShown, len(cycle))] {
		names = append(names, c.cfg.Services[i].Name)
	}
	if len(cycle) > maxShown {
		names = append(names, "...")
	}
	names = append(names, c.cfg.Services[cycle[0]].Name)
	c.doc.Report(dependencyPath(service, dependency), "remove one of these dependencies", "dependency cycle %s", strings.Join(names, " -> "))
}

// checkDependencyShares reports services whose share on the new system is larger
// than that of a dependency: a key that runs on the new system needs its
// dependencies there.
func checkDependencyShares(cfg *Config, doc *jsonc.Document) {
	index := serviceIndex(cfg)
	for i, s := range cfg.Services {
		for _, name := range s.DependsOn {
			j, ok := index[name]
			if !ok {
				continue
			}
			if dependency := cfg.Services[j]; s.NewPercent > dependency.NewPercent {
				doc.Report(servicePath(i, "new_percent"), "lower it or raise the share of the dependency first",
					"new_percent %d of service %q exceeds new_percent %d of %q, on which it depends", s.NewPercent, s.Name, dependency.NewPercent, dependency.Name)
			}
		}
	}
}
