// Package route holds the routing configuration that operators publish: routes,
// services, limits and client accounts. They are compiled into a Table, which finds
// the route of a request and the account of a key. A Table is immutable.
package route
