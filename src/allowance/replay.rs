//! Who holds which seat, and who is whose custodian: a pure function of the escrow stream.

use std::collections::BTreeMap;

use super::record::{EscrowRecord, SeatId};
use crate::link::PeerName;
use crate::types::Offset;

/// One seat after a prefix of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Seat {
    /// Who holds it. Once held, a seat is always held by someone.
    pub holder: Option<PeerName>,
    /// Offset of the record that gave it to its holder.
    pub since: Offset,
}

/// One holder after a prefix of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Its custodian; with none, anyone may reclaim.
    pub custodian: Option<PeerName>,
    /// Offset of the record that made this custody. Differs for every custody.
    pub custody: Offset,
    /// Whether a later life of the custodian has told that this one ended.
    pub custodian_ended: bool,
    /// Never 0: a holder without seats is forgotten.
    pub seat_count: usize,
}

/// How a seat came to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Moved {
    /// Nobody held it before.
    Claimed,
    /// From a holder that stopped spending before it sent the record.
    HandedOver,
    /// By its custodian, which let every promise run out first.
    Reclaimed,
    /// From a holder without custodian, which may still be spending after a read of the log.
    Taken,
}

/// A seat that got a new holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The seat.
    pub seat: SeatId,
    /// How.
    pub moved: Moved,
    /// Its new holder.
    pub to: PeerName,
}

/// The outcome of a prefix of the escrow stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Offset after the last record applied.
    pub next: Offset,
    seats: Vec<Seat>,
    holders: BTreeMap<PeerName, Holder>,
}

impl Ledger {
    /// The ledger of an empty stream.
    pub fn new(seat_count: SeatId) -> Ledger {
        Ledger {
            next: 0,
            seats: vec![Seat::default(); usize::from(seat_count)],
            holders: BTreeMap::new(),
        }
    }

    /// The seats, by number.
    pub fn seats(&self) -> &[Seat] {
        &self.seats
    }

    /// The holders, by name.
    pub fn holders(&self) -> &BTreeMap<PeerName, Holder> {
        &self.holders
    }

    /// Who holds a seat.
    pub fn holder_of(&self, seat: SeatId) -> Option<&PeerName> {
        self.seats.get(usize::from(seat))?.holder.as_ref()
    }

    /// Passes over a record that can't be read.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    /// Applies the record at `offset`; a record below `next` changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &EscrowRecord) -> Vec<Move> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset + 1;
        match record {
            EscrowRecord::Claim {
                holder,
                custodian,
                seats,
            } => self.claim(offset, holder, custodian, seats),
            EscrowRecord::Name {
                holder,
                custody,
                custodian,
            } => {
                self.name(offset, holder, *custody, custodian);
                Vec::new()
            }
            EscrowRecord::Reclaim {
                holder,
                custody,
                by,
            } => self.reclaim(offset, holder, *custody, by),
            EscrowRecord::HandOver {
                holder,
                next,
                to,
                seats,
            } => self.hand_over(offset, holder, *next, (to, seats)),
            EscrowRecord::Renounce { custodian, by } => {
                self.renounce(custodian, by);
                Vec::new()
            }
        }
    }

    fn renounce(&mut self, custodian: &PeerName, by: &PeerName) {
        if !is_later_life(by, custodian) {
            return;
        }
        for entry in self.holders.values_mut() {
            entry.custodian_ended |= entry.custodian.as_ref() == Some(custodian);
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        custodian: &Option<PeerName>,
        seats: &[SeatId],
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        for &seat in seats {
            if self.seat_is(seat, |seat| seat.holder.is_none()) {
                moves.push(self.put(offset, seat, holder, Moved::Claimed));
            }
        }
        self.grow(offset, holder, custodian, moves.len());
        moves
    }

    fn name(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        custody: Offset,
        custodian: &Option<PeerName>,
    ) {
        let Some(entry) = self.holders.get_mut(holder) else {
            return;
        };
        if entry.custody != custody || custodian.as_ref() == Some(holder) {
            return;
        }
        entry.custodian.clone_from(custodian);
        entry.custodian_ended = false;
        entry.custody = offset;
    }

    fn reclaim(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        custody: Offset,
        by: &PeerName,
    ) -> Vec<Move> {
        let Some(entry) = self.holders.get(holder) else {
            return Vec::new();
        };
        let succeeds = entry.custodian_ended && is_later_life(by, holder);
        let allowed = succeeds || entry.custodian.as_ref().is_none_or(|named| named == by);
        if entry.custody != custody || !allowed || holder == by {
            return Vec::new();
        }
        let moved = match entry.custodian {
            Some(_) if !succeeds => Moved::Reclaimed,
            _ => Moved::Taken,
        };
        self.holders.remove(holder);
        let mut moves = Vec::new();
        for seat in 0..self.seats.len() as SeatId {
            if self.seat_is(seat, |seat| seat.holder.as_ref() == Some(holder)) {
                moves.push(self.put(offset, seat, by, moved));
            }
        }
        self.grow(offset, by, &None, moves.len());
        moves
    }

    fn hand_over(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        next: Offset,
        (to, seats): (&PeerName, &[SeatId]),
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        if holder == to {
            return moves;
        }
        for &seat in seats {
            let held = |seat: &Seat| seat.holder.as_ref() == Some(holder) && seat.since < next;
            if self.seat_is(seat, held) {
                moves.push(self.put(offset, seat, to, Moved::HandedOver));
            }
        }
        if let Some(entry) = self.holders.get_mut(holder) {
            entry.seat_count -= moves.len();
            if entry.seat_count == 0 {
                self.holders.remove(holder);
            }
        }
        self.grow(offset, to, &None, moves.len());
        moves
    }

    fn seat_is(&self, seat: SeatId, test: impl Fn(&Seat) -> bool) -> bool {
        self.seats.get(usize::from(seat)).is_some_and(test)
    }

    fn put(&mut self, offset: Offset, seat: SeatId, to: &PeerName, moved: Moved) -> Move {
        self.seats[usize::from(seat)] = Seat {
            holder: Some(to.clone()),
            since: offset,
        };
        Move {
            seat,
            moved,
            to: to.clone(),
        }
    }

    fn grow(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        custodian: &Option<PeerName>,
        seat_count: usize,
    ) {
        if seat_count == 0 {
            return;
        }
        let entry = self
            .holders
            .entry(holder.clone())
            .or_insert_with(|| Holder {
                custodian: custodian.clone().filter(|named| named != holder),
                custody: offset,
                custodian_ended: false,
                seat_count: 0,
            });
        entry.seat_count += seat_count;
    }
}

/// Whether one name is a later life of the same daemon.
///
/// A daemon's later life starts only after the earlier one has ended.
pub fn is_later_life(later: &PeerName, earlier: &PeerName) -> bool {
    later.daemon == earlier.daemon && later.incarnation > earlier.incarnation
}
