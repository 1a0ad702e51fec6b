package document

import (
	"fmt"

	"github.com/goldcrestspool/goldcrestspool/internal/finding"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/tomlfile"
)

// CurrentSchema is the newest schema of documents that this program understands.
// Every change of what a document may contain, or of what counts as valid, needs
// a new schema number. Otherwise programs of different versions would disagree
// whether a document is valid and use different ones.
const CurrentSchema = 1

// Parse parses a document from TOML. file is the file name that findings give. The
// document is usable only if there are no findings.
func Parse(file string, data []byte) (*Document, finding.List) {
	d := &Document{}
	if len(data) > MaxBytes {
		return d, finding.List{{
			File:    file,
			Problem: fmt.Sprintf("has %d bytes", len(data)),
			Want:    fmt.Sprintf("at most %d", MaxBytes),
		}}
	}
	source := tomlfile.Decode(file, data, d)
	check := checker{source}
	check.document(d)
	return d, source.Findings()
}

// checker adds findings about the values of a document that was decoded from a
// file.
type checker struct{ *tomlfile.Source }

func (c checker) document(d *Document) {
	c.schema(d.Schema)
	c.requiredName("service", string(d.Service))
	switch d.Kind {
	case Model:
		c.modelService(d)
	case Plain:
		c.plainService(d)
	default:
		c.Add("kind", fmt.Sprintf("is %q", d.Kind), "model or plain")
	}
	c.accounts(d)
	c.placement(d.Placement)
}

func (c checker) schema(schema int) {
	if !c.Has("schema") {
		c.Add("schema", "is missing", fmt.Sprintf("schema = %d", CurrentSchema))
		return
	}
	c.Check(schema == CurrentSchema, "schema", fmt.Sprintf("%d is not understood", schema),
		fmt.Sprintf("%d", CurrentSchema))
}

func (c checker) requiredName(key, value string) {
	if !c.Has(key) {
		c.Add(key, "is missing", "a name")
		return
	}
	c.Check(value != "", key, "is empty", "a name")
}

// uniqueName adds a finding if an earlier entry has the same name.
func (c checker) uniqueName(seen map[string]bool, key, value string) {
	c.Check(!seen[value] || value == "", key, fmt.Sprintf("%q is named twice", value), "one entry a name")
	seen[value] = true
}

func (c checker) modelService(d *Document) {
	c.requiredName("model.name", d.Model.Name)
	c.requiredName("model.version", d.Model.Version)
	c.Check(len(d.Classes) > 0, "classes", "a model service has none", "at least one [[classes]]")
	c.Check(len(d.Methods) == 0, "methods", "a model service has no methods", "[[classes]]")
	seen := map[string]bool{}
	for i, class := range d.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.requiredName(key+".name", string(class.Name))
		c.uniqueName(seen, key+".name", string(class.Name))
		c.class(key, class)
	}
	adapters := map[string]bool{}
	for i, adapter := range d.Model.Adapters {
		c.uniqueName(adapters, fmt.Sprintf("model.adapters[%d]", i), adapter)
	}
}

func (c checker) class(key string, class Class) {
	c.Check(class.Completion > 0, key+".completion", "is missing or zero", "the deadline of a whole answer")
	c.Check(class.FirstToken <= class.Completion, key+".first_token",
		fmt.Sprintf("%v is longer than completion %v", class.FirstToken, class.Completion),
		"at most completion")
	c.Check(class.BetweenTokens <= class.Completion, key+".between_tokens",
		fmt.Sprintf("%v is longer than completion %v", class.BetweenTokens, class.Completion),
		"at most completion")
}

func (c checker) plainService(d *Document) {
	c.Check(!c.Has("model"), "model", "a plain service has no model", "kind = \"model\", or no [model]")
	c.Check(len(d.Classes) == 0, "classes", "a plain service has no latency classes", "[[methods]]")
	c.Check(len(d.Methods) > 0, "methods", "a plain service has none", "at least one [[methods]]")
	seen := map[string]bool{}
	for i, method := range d.Methods {
		key := fmt.Sprintf("methods[%d]", i)
		c.requiredName(key+".name", string(method.Name))
		c.uniqueName(seen, key+".name", string(method.Name))
		c.Check(c.Has(key+".idempotent"), key+".idempotent", "is missing",
			"true or false: false calls run at most once")
		c.Check(method.Timeout > 0, key+".timeout", "is missing or zero", "the deadline of one call")
	}
}

func (c checker) accounts(d *Document) {
	c.limit("default_account", d.DefaultAccount)
	c.Check(!c.Has("default_account.account"), "default_account.account",
		"the default is for all other client accounts", "no account here")
	seen := map[string]bool{}
	for i, limit := range d.Accounts {
		key := fmt.Sprintf("accounts[%d]", i)
		c.requiredName(key+".account", string(limit.Account))
		c.uniqueName(seen, key+".account", string(limit.Account))
		c.limit(key, limit)
	}
}

func (c checker) limit(key string, l AccountLimit) {
	c.Check(l.RequestsPerSecond >= 0, key+".requests_per_second", "is negative", "0 (no limit) or more")
	c.Check(l.Burst >= 0, key+".burst", "is negative", "0 or more")
	c.Check(l.RequestsPerSecond == 0 || l.Burst > 0, key+".burst",
		"is missing beside requests_per_second", "1 or more, or no request ever passes")
	c.Check(l.MaxInFlight >= 0, key+".max_in_flight", "is negative", "0 (no limit) or more")
	c.Check(l.Share >= 0, key+".share", "is negative", "0 (counts as 1) or more")
}

func (c checker) placement(p Placement) {
	c.Check(p.Min >= 0, "placement.min", "is negative", "0 or more")
	c.Check(p.Max > 0, "placement.max", "is missing or not positive", "1 or more")
	c.Check(p.Min <= p.Max || p.Max <= 0, "placement.min",
		fmt.Sprintf("%d is more than max %d", p.Min, p.Max), "at most placement.max")
	c.Check(p.OnDemandShare >= 0 && p.OnDemandShare <= 1, "placement.on_demand_share",
		fmt.Sprintf("is %v", p.OnDemandShare), "a share from 0 to 1")
	c.Check(len(p.Prices) > 0, "placement.prices", "is missing",
		"one [[placement.prices]] for each kind of instance that may be used")
	seen := map[priceKey]int{}
	for i, price := range p.Prices {
		c.price(fmt.Sprintf("placement.prices[%d]", i), price)
		c.uniquePrice(seen, i, price)
	}
}

func (c checker) price(key string, p Price) {
	c.requiredName(key+".failure_domain", string(p.FailureDomain))
	c.requiredName(key+".class", string(p.Class))
	c.Check(c.Has(key+".cents_per_hour"), key+".cents_per_hour", "is missing", "a price")
	c.Check(p.CentsPerHour >= 0, key+".cents_per_hour", "is negative", "0 or more")
}

// priceKey identifies the kind of instance that a price is for.
type priceKey struct {
	domain      ident.FailureDomain
	class       ident.MachineClass
	reclaimable bool
}

func (c checker) uniquePrice(seen map[priceKey]int, index int, p Price) {
	key := priceKey{p.FailureDomain, p.Class, p.Reclaimable}
	if earlier, ok := seen[key]; ok {
		c.Add(fmt.Sprintf("placement.prices[%d]", index),
			fmt.Sprintf("is for the same instances as prices[%d]", earlier),
			"one price for each failure_domain, class and reclaimable")
	}
	seen[key] = index
}
