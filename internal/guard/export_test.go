package guard

import "github.com/crocusspring/crocusspring/internal/link"

// Handle passes a message of the owner to a guard, as its link does.
func (g *Guard) Handle(d link.OwnerMessage) error { return g.handle(d) }
