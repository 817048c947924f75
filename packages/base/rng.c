/*
 * Seeded pseudo-random numbers (xoroshiro128+). Not for keys or nonces; those
 * come from libsodium.
 */
#include <sodium.h>

#include "base.h"

static uint64_t mix_seed(uint64_t *s);
static uint64_t rotate_left(uint64_t x, int k);

/*
 * Seeds r; equal seeds give equal sequences on every machine.
 */
void
seed_rng(struct rng *r, uint64_t seed)
{
	r->state[0] = mix_seed(&seed);
	r->state[1] = mix_seed(&seed);
}

/*
 * Seeds r from the system's random source.
 */
void
seed_rng_random(struct rng *r)
{
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	seed_rng(r, seed);
}

uint64_t
draw_u64(struct rng *r)
{
	uint64_t a = r->state[0], b = r->state[1];
	uint64_t sum = a + b;

	b ^= a;
	r->state[0] = rotate_left(a, 24) ^ b ^ (b << 16);
	r->state[1] = rotate_left(b, 37);
	return sum;
}

/*
 * Draws from 0 to bound - 1; returns 0 when bound is 0. The bias is below
 * bound / 2^64.
 */
uint64_t
draw_below(struct rng *r, uint64_t bound)
{
	return bound != 0 ? draw_u64(r) % bound : 0;
}

/*
 * Scales the upper 53 bits by 2^-53, the precision of a double.
 */
double
draw_unit(struct rng *r)
{
	return (double)(draw_u64(r) >> 11) / 9007199254740992.0;
}

/*
 * Advances s by one step of splitmix64 and returns its output, which fills the
 * state evenly even from a small seed.
 */
static uint64_t
mix_seed(uint64_t *s)
{
	uint64_t z;

	*s += 0x9e3779b97f4a7c15ULL;
	z = *s;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static uint64_t
rotate_left(uint64_t x, int k)
{
	return (x << k) | (x >> (64 - k));
}
