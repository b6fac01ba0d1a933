//! The budget that all threads of a process share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use dappleyard_clock::Instant;
use derive_more::{Display, Error};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::ledger::{Charge, Ledger, MessageId};
use crate::limits::BudgetLimits;

/// The budget is used up, and no message makes room for this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the memory for messages of callers is used up")]
pub struct MemoryShort;

#[derive(Debug, Default)]
struct Signal {
    is_given_up: AtomicBool,
    changed: Notify,
}

impl Signal {
    fn give_up(&self) {
        self.is_given_up.store(true, Ordering::Release);
        self.changed.notify_one();
    }
}

#[derive(Debug)]
struct Accounts {
    ledger: Ledger,
    signals: HashMap<MessageId, Arc<Signal>>,
}

/// The memory of a process for messages of callers.
#[derive(Debug)]
pub struct MemoryBudget {
    accounts: Mutex<Accounts>,
    refused: AtomicU64,
    given_up: AtomicU64,
}

impl MemoryBudget {
    pub fn new(limits: BudgetLimits) -> Arc<Self> {
        Arc::new(Self {
            accounts: Mutex::new(Accounts {
                ledger: Ledger::new(limits),
                signals: HashMap::new(),
            }),
            refused: AtomicU64::new(0),
            given_up: AtomicU64::new(0),
        })
    }

    /// Opens an account for one message after the other.
    pub fn open(self: &Arc<Self>) -> Account {
        let signal = Arc::new(Signal::default());
        let mut accounts = self.accounts.lock();
        let id = accounts.ledger.open(Instant::now());
        accounts.signals.insert(id, signal.clone());
        Account {
            budget: self.clone(),
            id,
            signal,
        }
    }

    /// Bytes that all messages hold.
    pub fn used_bytes(&self) -> usize {
        self.accounts.lock().ledger.used_bytes()
    }

    /// Charges that were refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Messages that were given up for others.
    pub fn given_up(&self) -> u64 {
        self.given_up.load(Ordering::Relaxed)
    }

    fn charge(&self, id: MessageId, bytes: usize) -> Result<(), MemoryShort> {
        let mut accounts = self.accounts.lock();
        match accounts.ledger.charge(id, bytes, Instant::now()) {
            Charge::Granted => Ok(()),
            Charge::GrantedAfter(given_up) => {
                for id in given_up {
                    self.given_up.fetch_add(1, Ordering::Relaxed);
                    if let Some(signal) = accounts.signals.get(&id) {
                        signal.give_up();
                    }
                }
                Ok(())
            }
            Charge::Refused => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                Err(MemoryShort)
            }
        }
    }
}

/// Account of one message after the other. What it holds is released when it is dropped.
#[derive(Debug)]
pub struct Account {
    budget: Arc<MemoryBudget>,
    id: MessageId,
    signal: Arc<Signal>,
}

impl Account {
    /// Charges for more bytes of the message.
    pub fn charge(&self, bytes: usize) -> Result<(), MemoryShort> {
        match self.is_given_up() {
            true => Err(MemoryShort),
            false => self.budget.charge(self.id, bytes),
        }
    }

    /// Notes that the message has arrived whole. It is no longer given up.
    pub fn complete(&self) {
        self.budget.accounts.lock().ledger.complete(self.id);
    }

    /// Releases the message, and prepares for the next one.
    pub fn restart(&self) {
        let mut accounts = self.budget.accounts.lock();
        accounts.ledger.restart(self.id, Instant::now());
        self.signal.is_given_up.store(false, Ordering::Release);
    }

    /// Whether the message is unfinished and makes no progress.
    pub fn is_stalled(&self) -> bool {
        let accounts = self.budget.accounts.lock();
        accounts.ledger.is_stalled(self.id, Instant::now())
    }

    /// Gives the message up.
    pub fn give_up(&self) {
        self.budget.accounts.lock().ledger.release(self.id);
        self.signal.give_up();
    }

    /// Whether the message was given up for others.
    pub fn is_given_up(&self) -> bool {
        self.signal.is_given_up.load(Ordering::Acquire)
    }

    /// Waits until the message is given up.
    pub async fn given_up(&self) {
        while !self.is_given_up() {
            self.signal.changed.notified().await;
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut accounts = self.budget.accounts.lock();
        accounts.ledger.close(self.id);
        accounts.signals.remove(&self.id);
    }
}
