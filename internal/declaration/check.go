package declaration

import (
	"fmt"
	"slices"

	"trefoilpath.org/trefoilpath/internal/strictjson"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Bounds on the lists. They keep every computed value far from overflow.
// State.checkSizes bounds the size of chunks.
const (
	MaxPlans          = 1_000 // and entitlements
	MaxAccounts       = 20_000
	MaxModels         = 200
	MaxServices       = 200
	MaxKeysPerAccount = 8
	MaxAdapters       = 500 // of one model
	MaxMethods        = 50  // of one service
	MaxNameBytes      = 64

	maxWeight         = 1e6
	maxRate           = 1e9 // requests or tokens a second
	maxBurstSeconds   = 3_600
	maxConcurrency    = 1_000_000
	maxDurationMillis = 24 * 60 * 60 * 1_000 // one day
	maxPriority       = 1_000
	maxTokens         = 16_000_000
	maxReplicas       = 100_000
	maxGroups         = 10_000
	maxWeightBytes    = 1 << 44           // 16 TiB
	maxKeyTTLSeconds  = 30 * 24 * 60 * 60 // 30 days
)

// check records the mistakes of the lists in their documents. It checks references
// between entities only if neither document is broken.
func check(l *Lists, plans, entitlements *strictjson.Document) {
	checkPlanList(&l.Plans, plans)
	checkEntitlementList(&l.Entitlements, entitlements)
	if plans.Broken() || entitlements.Broken() {
		return
	}
	checkReferences(l, plans, entitlements)
}

func checkPlanList(l *PlanList, doc *strictjson.Document) {
	checkCount(doc, "plans", len(l.Plans), MaxPlans)
	checkCount(doc, "accounts", len(l.Accounts), MaxAccounts)
	names := make(map[string]int)
	for i := range l.Plans {
		path := fmt.Sprintf("plans[%d]", i)
		checkUnique(doc, path+".name", l.Plans[i].Name, i, names)
		checkPlan(doc, path, &l.Plans[i])
	}
	checkAccounts(l, doc)
}

func checkPlan(doc *strictjson.Document, path string, p *Plan) {
	checkName(doc, path+".name", p.Name)
	checkPositive(doc, path+".weight", p.Weight, maxWeight)
	checkPlanLimits(doc, path+".limits", p.Limits)
	checkBands(doc, path+".deadline_ms", p.DeadlineMS)
	checkBands(doc, path+".first_token_ms", p.FirstTokenMS)
	checkFirstTokenTimes(doc, path+".first_token_ms", p)
	checkRange(doc, path+".service_time_ms", p.ServiceTimeMS, 1, maxDurationMillis)
	checkRange(doc, path+".max_priority", int64(p.MaxPriority), 0, maxPriority)
	checkRange(doc, path+".max_prompt_tokens", p.MaxPromptTokens, 1, maxTokens)
	checkRange(doc, path+".max_output_tokens", p.MaxOutputTokens, 1, maxTokens)
	checkBurst(doc, path+".limits", p, p.Limits)
}

// checkBurst refuses limits whose bucket is too small to ever admit the plan's
// largest request, or any request at all.
func checkBurst(doc *strictjson.Document, path string, p *Plan, l PlanLimits) {
	largest := p.MaxPromptTokens + p.MaxOutputTokens
	if depth := l.TokensPerSecond * l.BurstSeconds; depth > 0 && depth < float64(largest) {
		doc.Add(path, "%g tokens a second over %g seconds of burst never admit the plan's largest request of %d tokens",
			l.TokensPerSecond, l.BurstSeconds, largest)
	}
	if depth := l.RequestsPerSecond * l.BurstSeconds; depth > 0 && depth < 1 {
		doc.Add(path, "%g requests a second over %g seconds of burst never admit a request", l.RequestsPerSecond, l.BurstSeconds)
	}
}

func checkPlanLimits(doc *strictjson.Document, path string, l PlanLimits) {
	checkPositive(doc, path+".requests_per_second", l.RequestsPerSecond, maxRate)
	checkPositive(doc, path+".tokens_per_second", l.TokensPerSecond, maxRate)
	checkPositive(doc, path+".burst_seconds", l.BurstSeconds, maxBurstSeconds)
	checkRange(doc, path+".concurrency", l.Concurrency, 1, maxConcurrency)
}

func checkBands(doc *strictjson.Document, path string, b BandsMillis) {
	for band, ms := range b.array() {
		checkRange(doc, path+"."+wire.Band(band).String(), ms, 1, maxDurationMillis)
	}
}

// checkFirstTokenTimes refuses TTFT objectives beyond the deadline of their band.
func checkFirstTokenTimes(doc *strictjson.Document, path string, p *Plan) {
	deadlines := p.DeadlineMS.array()
	for band, ms := range p.FirstTokenMS.array() {
		if ms > deadlines[band] && deadlines[band] > 0 {
			doc.Add(path+"."+wire.Band(band).String(), "%d ms is longer than the deadline of %d ms", ms, deadlines[band])
		}
	}
}

func (b BandsMillis) array() [wire.BandCount]int64 {
	return [wire.BandCount]int64{b.Short, b.Medium, b.Long, b.Huge}
}

func checkAccounts(l *PlanList, doc *strictjson.Document) {
	plans := make(map[string]*Plan, len(l.Plans))
	for i := range l.Plans {
		plans[l.Plans[i].Name] = &l.Plans[i]
	}
	ids := make(map[string]int)
	owners := make(map[KeyHash]int)
	for i := range l.Accounts {
		a := &l.Accounts[i]
		path := fmt.Sprintf("accounts[%d]", i)
		checkUnique(doc, path+".id", string(a.ID), i, ids)
		checkName(doc, path+".id", string(a.ID))
		checkName(doc, path+".plan", a.Plan)
		checkKeys(doc, path+".key_sha256", a, i, owners, l.Accounts)
		checkOverrides(doc, path+".limits", a.Limits)
		if p := plans[a.Plan]; p != nil && a.Limits != nil {
			checkBurst(doc, path+".limits", p, a.Limits.applyTo(p.Limits))
		}
	}
}

func checkKeys(doc *strictjson.Document, path string, a *ClientAccount, i int, owners map[KeyHash]int, accounts []ClientAccount) {
	if len(a.KeySHA256) == 0 || len(a.KeySHA256) > MaxKeysPerAccount {
		doc.Add(path, "want 1 to %d key hashes, got %d", MaxKeysPerAccount, len(a.KeySHA256))
	}
	for k, h := range a.KeySHA256 {
		sub := fmt.Sprintf("%s[%d]", path, k)
		if h == (KeyHash{}) {
			doc.Add(sub, "the hash is all zeros")
			continue
		}
		if first, ok := owners[h]; ok {
			doc.Add(sub, "the key hash is given already for account %q", accounts[first].ID)
			continue
		}
		owners[h] = i
	}
}

func checkOverrides(doc *strictjson.Document, path string, o *LimitOverrides) {
	if o == nil {
		return
	}
	if *o == (LimitOverrides{}) {
		doc.Add(path, "overrides nothing; leave it out")
	}
	checkOptional(doc, path+".requests_per_second", o.RequestsPerSecond, maxRate)
	checkOptional(doc, path+".tokens_per_second", o.TokensPerSecond, maxRate)
	checkOptional(doc, path+".burst_seconds", o.BurstSeconds, maxBurstSeconds)
	checkOptional(doc, path+".weight", o.Weight, maxWeight)
	if o.Concurrency != nil {
		checkRange(doc, path+".concurrency", *o.Concurrency, 1, maxConcurrency)
	}
}

func checkOptional(doc *strictjson.Document, path string, v *float64, most float64) {
	if v != nil {
		checkPositive(doc, path, *v, most)
	}
}

func checkCount(doc *strictjson.Document, path string, n, most int) {
	if n > most {
		doc.Add(path, "%d elements are more than the bound of %d", n, most)
	}
}

func checkUnique(doc *strictjson.Document, path, name string, i int, seen map[string]int) {
	if first, ok := seen[name]; ok {
		doc.Add(path, "%q is given already at index %d", name, first)
		return
	}
	seen[name] = i
}

func checkName(doc *strictjson.Document, path, name string) {
	switch {
	case name == "":
		doc.Add(path, "must not be empty")
	case len(name) > MaxNameBytes:
		doc.Add(path, "%d bytes are more than the bound of %d", len(name), MaxNameBytes)
	case !slices.ContainsFunc([]byte(name), func(c byte) bool { return !nameByte(c) }):
	default:
		doc.Add(path, "%q has a character other than letters, digits, '.', '_' and '-'", name)
	}
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-'
}

// checkPositive refuses NaN too, for which every comparison is false.
func checkPositive(doc *strictjson.Document, path string, v, most float64) {
	if !(v > 0 && v <= most) {
		doc.Add(path, "want a number above 0 and at most %g, got %g", most, v)
	}
}

func checkRange(doc *strictjson.Document, path string, v, least, most int64) {
	if v < least || v > most {
		doc.Add(path, "want an integer from %d to %d, got %d", least, most, v)
	}
}
