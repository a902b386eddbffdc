package declaration

import (
	"fmt"
	"slices"

	"trefoilpath.org/trefoilpath/internal/strictjson"
)

// serviceMethods are the HTTP methods that calls of a plain service may use.
var serviceMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func checkEntitlementList(l *EntitlementList, doc *strictjson.Document) {
	checkCount(doc, "models", len(l.Models), MaxModels)
	checkCount(doc, "services", len(l.Services), MaxServices)
	checkCount(doc, "entitlements", len(l.Entitlements), MaxPlans)
	names := make(map[string]int)
	for i := range l.Models {
		path := fmt.Sprintf("models[%d]", i)
		checkUnique(doc, path+".name", l.Models[i].Name, i, names)
		checkModel(doc, path, &l.Models[i])
	}
	names = make(map[string]int)
	for i := range l.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkUnique(doc, path+".name", l.Services[i].Name, i, names)
		checkService(doc, path, &l.Services[i])
	}
	names = make(map[string]int)
	for i := range l.Entitlements {
		path := fmt.Sprintf("entitlements[%d].plan", i)
		checkUnique(doc, path, l.Entitlements[i].Plan, i, names)
		checkName(doc, path, l.Entitlements[i].Plan)
	}
}

func checkModel(doc *strictjson.Document, path string, m *ModelEntry) {
	checkName(doc, path+".name", m.Name)
	checkName(doc, path+".version", m.Version)
	checkAdapters(doc, path+".adapters", m.Adapters)
	checkRange(doc, path+".min_replicas_per_failure_domain", int64(m.MinReplicasPerFailureDomain), 0, maxReplicas)
	checkRange(doc, path+".max_replicas", int64(m.MaxReplicas), 0, maxReplicas)
	checkPositive(doc, path+".weight", m.Weight, maxWeight)
	checkRange(doc, path+".max_groups", int64(m.MaxGroups), 0, maxGroups)
	checkRange(doc, path+".weight_bytes", m.WeightBytes, 1, maxWeightBytes)
	if m.MaxReplicas > 0 && m.MaxReplicas < m.MinReplicasPerFailureDomain {
		doc.Add(path+".max_replicas", "%d is below min_replicas_per_failure_domain %d", m.MaxReplicas, m.MinReplicasPerFailureDomain)
	}
}

func checkService(doc *strictjson.Document, path string, s *ServiceEntry) {
	checkName(doc, path+".name", s.Name)
	checkMethods(doc, path+".idempotent_methods", s.IdempotentMethods)
	checkRange(doc, path+".key_ttl_s", s.KeyTTLSeconds, 1, maxKeyTTLSeconds)
}

func checkAdapters(doc *strictjson.Document, path string, names []string) {
	checkCount(doc, path, len(names), MaxAdapters)
	seen := make(map[string]int)
	for i, name := range names {
		sub := fmt.Sprintf("%s[%d]", path, i)
		checkUnique(doc, sub, name, i, seen)
		checkName(doc, sub, name)
	}
}

func checkMethods(doc *strictjson.Document, path string, names []string) {
	checkCount(doc, path, len(names), MaxMethods)
	seen := make(map[string]int)
	for i, name := range names {
		sub := fmt.Sprintf("%s[%d]", path, i)
		checkUnique(doc, sub, name, i, seen)
		if !slices.Contains(serviceMethods, name) {
			doc.Add(sub, "%q is not one of %v", name, serviceMethods)
		}
	}
}

// checkReferences checks that every name that the lists refer to exists and that
// every plan has an entitlement.
func checkReferences(l *Lists, plans, entitlements *strictjson.Document) {
	known := indexNames(l)
	for i := range l.Plans.Plans {
		name := l.Plans.Plans[i].Name
		if name != "" && !known.entitled[name] {
			plans.Add(fmt.Sprintf("plans[%d].name", i), "plan %q has no entitlement in the other list", name)
		}
	}
	for i := range l.Plans.Accounts {
		plan := l.Plans.Accounts[i].Plan
		if plan != "" && !known.plans[plan] {
			plans.Add(fmt.Sprintf("accounts[%d].plan", i), "no plan is called %q", plan)
		}
	}
	for i := range l.Entitlements.Entitlements {
		e := &l.Entitlements.Entitlements[i]
		path := fmt.Sprintf("entitlements[%d]", i)
		if e.Plan != "" && !known.plans[e.Plan] {
			entitlements.Add(path+".plan", "no plan is called %q", e.Plan)
		}
		checkEntitlement(entitlements, path, e, known)
	}
}

func checkEntitlement(doc *strictjson.Document, path string, e *Entitlement, known *nameIndex) {
	if len(e.Models) == 0 && len(e.Services) == 0 {
		doc.Add(path, "allows neither a model nor a service")
	}
	checkCount(doc, path+".models", len(e.Models), MaxModels)
	checkCount(doc, path+".services", len(e.Services), MaxServices)
	seen := make(map[string]int)
	for i := range e.Models {
		sub := fmt.Sprintf("%s.models[%d]", path, i)
		checkUnique(doc, sub+".model", e.Models[i].Model, i, seen)
		checkModelEntitlement(doc, sub, &e.Models[i], known)
	}
	seen = make(map[string]int)
	for i := range e.Services {
		sub := fmt.Sprintf("%s.services[%d]", path, i)
		checkUnique(doc, sub+".service", e.Services[i].Service, i, seen)
		checkMethods(doc, sub+".methods", e.Services[i].Methods)
		if !known.services[e.Services[i].Service] {
			doc.Add(sub+".service", "no service is called %q", e.Services[i].Service)
		}
	}
}

func checkModelEntitlement(doc *strictjson.Document, path string, m *ModelEntitlement, known *nameIndex) {
	entry, ok := known.models[m.Model]
	if !ok {
		doc.Add(path+".model", "no model is called %q", m.Model)
		return
	}
	checkAdapters(doc, path+".adapters", m.Adapters)
	for i, adapter := range m.Adapters {
		if !slices.Contains(entry.Adapters, adapter) {
			doc.Add(fmt.Sprintf("%s.adapters[%d]", path, i), "model %q has no adapter %q", m.Model, adapter)
		}
	}
}

// nameIndex holds the names that the lists may refer to.
type nameIndex struct {
	plans    map[string]bool
	entitled map[string]bool // plans that have an entitlement
	models   map[string]*ModelEntry
	services map[string]bool
}

func indexNames(l *Lists) *nameIndex {
	x := &nameIndex{
		plans:    make(map[string]bool),
		entitled: make(map[string]bool),
		models:   make(map[string]*ModelEntry),
		services: make(map[string]bool),
	}
	for i := range l.Plans.Plans {
		x.plans[l.Plans.Plans[i].Name] = true
	}
	for i := range l.Entitlements.Entitlements {
		x.entitled[l.Entitlements.Entitlements[i].Plan] = true
	}
	for i := range l.Entitlements.Models {
		x.models[l.Entitlements.Models[i].Name] = &l.Entitlements.Models[i]
	}
	for i := range l.Entitlements.Services {
		x.services[l.Entitlements.Services[i].Name] = true
	}
	return x
}
