// Package limits shares each client account's limits among the entries of a
// region, so that together they never admit more than the account may use.
//
// Every limit is divided into equal shares, one for each entry. An entry lends
// its share to the account's home entry, found by rendezvous hashing, by a
// promise that ends at a known time. The home grants parts of the limits for
// shorter terms, by demand, out of the shares that are promised to it for at
// least that term. A demand is what an entry reports that it needs of an account;
// a session is the set of grants that an entry holds from one home and that each
// reply renews. An entry without contact to the home uses no more than its own
// share, once its promise has ended. A share is thus never used twice, whatever
// is lost, paused or partitioned, and also while entries disagree about which
// entry is the home.
package limits
